"""The rule for a non-idempotent request with its caller's own key.

Load pattern: after a timeout, a caller resends the same deposit through any
entry, while endpoint processes restart, settings change and the clocks of
instances differ.

Without this rule, a process that has restarted, or has just become the home
of the key, has no record of the first run and runs the deposit again.

The rule needs no shared state. Only the home endpoint of a key runs its
request. Another process can have run it only before this process started or
became the home, plus the time for which an outdated view still counts as
fresh. Such a process also refused keys from the future of its own clock. A
key issued later than all these bounds and the errors of both clocks together
has therefore not run elsewhere. All other keys are refused.
"""

import enum
import uuid

import msgspec
from sycamore_core.ids import IdempotencyKey

#: Largest error of an instance's wall clock that the rule tolerates, in
#: seconds.
MAX_CLOCK_ERROR_SECONDS = 30.0
#: How far a key may be ahead of this instance's wall clock, in seconds. The
#: caller's clock may be fast and the own clock slow, each by the largest error.
MAX_KEY_AHEAD_SECONDS = 2 * MAX_CLOCK_ERROR_SECONDS
#: How long a view of the settings counts as fresh after its confirmation, in
#: seconds. The platform is read every 5 s and heartbeats come every second.
FRESH_VIEW_SECONDS = 20.0
#: How much newer than the start and the last change of home a key must be, in
#: seconds. The other process ran a key at most `FRESH_VIEW_SECONDS` after the
#: change, the key was at most `MAX_KEY_AHEAD_SECONDS` ahead of that process's
#: clock, and both clocks may be wrong.
KEY_MARGIN_SECONDS = (
    FRESH_VIEW_SECONDS + MAX_KEY_AHEAD_SECONDS + 2 * MAX_CLOCK_ERROR_SECONDS
)
#: Largest age of a key that may run, in seconds. A caller that retries for
#: longer has to query the state of its request.
MAX_KEY_AGE_SECONDS = 600.0
#: How long a received key is remembered, in seconds of the monotonic clock. By
#: then the key is too old to run, even if the wall clock was set back.
KEY_RETENTION_SECONDS = (
    MAX_KEY_AGE_SECONDS
    + MAX_KEY_AHEAD_SECONDS
    + 2 * MAX_CLOCK_ERROR_SECONDS
    + FRESH_VIEW_SECONDS
)

_UUID_VERSION = 7
_TIMESTAMP_SHIFT = 80
_MS_PER_SECOND = 1000


class KeyRefusal(enum.StrEnum):
    """Reason why a request with a key may not run."""

    NOT_TIMED = 'not_timed'
    NOT_HOME = 'not_home'
    VIEW_OLD = 'view_old'
    TOO_EARLY = 'too_early'
    TOO_OLD = 'too_old'
    FROM_FUTURE = 'from_future'


class KeyContext(msgspec.Struct, frozen=True):
    """State of this process on which the decision depends.

    Attributes
    ----------
    wall
        Wall clock of this instance in seconds since 1970. It never decreases.
    home_since
        Wall clock reading at which this process started or became the home
        of the key, whichever is later; None if it is not the home.
    view_age
        Time since the current settings were confirmed, in seconds.
    """

    wall: float
    home_since: float | None
    view_age: float


def key_refusal(key: IdempotencyKey, context: KeyContext) -> KeyRefusal | None:
    """Return why a key must not run here, or None if it may.

    Examples
    --------
    >>> key = IdempotencyKey('018bcfe5-6800-7000-8000-000000000000')
    >>> key_refusal(key, KeyContext(1700000001.0, 1699999000.0, 1))
    >>> key_refusal(key, KeyContext(1700000001.0, 1699999990.0, 1)).value
    'too_early'
    """
    issued = key_timestamp(key)
    if issued is None:
        return KeyRefusal.NOT_TIMED
    if context.home_since is None:
        return KeyRefusal.NOT_HOME
    if context.view_age > FRESH_VIEW_SECONDS:
        return KeyRefusal.VIEW_OLD
    return _time_refusal(issued, context.home_since, context.wall)


def key_timestamp(key: IdempotencyKey) -> float | None:
    """Return the timestamp of a UUIDv7 in seconds since 1970, or None."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION:
        return None
    return (parsed.int >> _TIMESTAMP_SHIFT) / _MS_PER_SECOND


def _time_refusal(
    issued: float,
    home_since: float,
    wall: float,
) -> KeyRefusal | None:
    if issued <= home_since + KEY_MARGIN_SECONDS:
        return KeyRefusal.TOO_EARLY
    if issued > wall + MAX_KEY_AHEAD_SECONDS:
        return KeyRefusal.FROM_FUTURE
    if issued < wall - MAX_KEY_AGE_SECONDS:
        return KeyRefusal.TOO_OLD
    return None
