"""The rule for a non-idempotent request under its caller's own key.

Load pattern: a caller sends the same deposit again, through any entry, after
a time-out, while endpoint processes restart, settings change and clocks of
instances differ.

Without it: a process that has restarted, or has just become the home of the
key, knows nothing of the first run and runs the deposit again.

The rule needs nothing shared. Only the home of a key runs it. A process that
could have run it before this one did so before this one became the home (or
started), plus the time for which an outdated view still counts as fresh. It
also refused a key from its future. So a key whose own time is later than that
moment, by all these bounds and the errors of both clocks, has run nowhere
else. Any other key is refused.
"""

import enum
import uuid

import msgspec
from sycamore_core.ids import IdempotencyKey

#: Largest error of an instance's wall clock, in seconds; it must be
#: survivable.
CLOCK_ERROR_SECONDS = 30.0
#: How far a key may be ahead of our wall clock, in seconds: its caller's
#: clock may be fast and ours slow by the error of a clock each.
AHEAD_SECONDS = 2 * CLOCK_ERROR_SECONDS
#: How long after its confirmation a view of the settings counts as fresh, in
#: seconds. The platform is read every 5 s and heartbeats come every second.
VIEW_SECONDS = 20.0
#: A key must be this much newer than the start and the change of home, in
#: seconds. The other process ran it at most `VIEW_SECONDS` after; the key was
#: at most `AHEAD_SECONDS` ahead of its clock; both clocks may be wrong.
MARGIN_SECONDS = VIEW_SECONDS + AHEAD_SECONDS + 2 * CLOCK_ERROR_SECONDS
#: Oldest key that is run, in seconds; a caller that tries for longer has to
#: ask what became of its request.
OLDEST_SECONDS = 600.0
#: How long a key is remembered after it was seen, in seconds of the monotonic
#: clock: until it is too old, even if our wall clock was set back meanwhile.
REMEMBERED_SECONDS = (
    OLDEST_SECONDS + AHEAD_SECONDS + 2 * CLOCK_ERROR_SECONDS + VIEW_SECONDS
)

_VERSION = 7
_MILLISECONDS_SHIFT = 80
_MILLISECONDS = 1000


class Doubt(enum.StrEnum):
    """Why a key is not run."""

    NOT_TIMED = 'not_timed'
    NOT_HOME = 'not_home'
    VIEW_OLD = 'view_old'
    TOO_EARLY = 'too_early'
    TOO_OLD = 'too_old'
    FROM_FUTURE = 'from_future'


class KeyFacts(msgspec.Struct, frozen=True):
    """What this process knows when it decides.

    Attributes
    ----------
    wall
        Wall clock of this instance, never set back, in seconds since 1970.
    home_since
        Wall clock reading at which this process became the home of the key,
        its start at the earliest; None if it is not.
    view_age
        Time since the settings in force were confirmed, in seconds.
    """

    wall: float
    home_since: float | None
    view_age: float


def doubt_about(key: IdempotencyKey, facts: KeyFacts) -> Doubt | None:
    """Return why a key must not run here, or None if it may.

    Examples
    --------
    >>> key = IdempotencyKey('018bcfe5-6800-7000-8000-000000000000')
    >>> doubt_about(key, KeyFacts(1700000001.0, 1699999000.0, 1))
    >>> doubt_about(key, KeyFacts(1700000001.0, 1699999990.0, 1)).value
    'too_early'
    """
    issued = issued_at(key)
    if issued is None:
        return Doubt.NOT_TIMED
    if facts.home_since is None:
        return Doubt.NOT_HOME
    if facts.view_age > VIEW_SECONDS:
        return Doubt.VIEW_OLD
    return _doubt_about_time(issued, facts.home_since, facts.wall)


def issued_at(key: IdempotencyKey) -> float | None:
    """Return the time in a UUIDv7, in seconds since 1970, or None."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _VERSION:
        return None
    return (parsed.int >> _MILLISECONDS_SHIFT) / _MILLISECONDS


def _doubt_about_time(
    issued: float,
    home_since: float,
    wall: float,
) -> Doubt | None:
    if issued <= home_since + MARGIN_SECONDS:
        return Doubt.TOO_EARLY
    if issued > wall + AHEAD_SECONDS:
        return Doubt.FROM_FUTURE
    if issued < wall - OLDEST_SECONDS:
        return Doubt.TOO_OLD
    return None
