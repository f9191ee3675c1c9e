"""Who may try a request whose hold is over, and how often.

Load pattern: a request was at three crashes beside others, and is held for a
moment, as it may be a bystander. A dozen callers are told the same end of it,
and come back to several entries.

Without it: each entry lets one in at that moment. Four endpoints crash within a
fifth of a second, with the streams of all others there, before any entry has
heard of another.

One entry for each request says who tries it: the one that a hash chooses among
the living. It says so to one at a time, and to no more than `MOST_TRIES` for as
long as crashes count. How often a request was tried is told with its crashes,
so that the next entry that is chosen knows it. An entry that may have missed
that grants nothing: one that has just started or stood still, or that hears
half of the others at most.
"""

from collections.abc import Iterable

from ...hashes import stable_hash
from ...ids import ContentDigest
from .crash_records import CrashRecord

#: Attempts beyond the crashes that hold a request.
MOST_TRIES = 3
#: Time by which the end of an attempt is known, in seconds: the patience of its
#: caller. A crash or an answer tells sooner.
TRY_SECONDS = 12.0
#: For how long an entry must have run without a pause to grant anything, in
#: seconds: by then it has heard all that the others know.
STEADY_SECONDS = 3.0
#: Part of the others that an entry must hear to grant anything.
_MOST_HALF = 0.5


def granting_entry(content: ContentDigest, entries: Iterable[str]) -> str:
    """Return the entry that says who may try a request.

    Examples
    --------
    >>> chosen = granting_entry(b'request', ('a', 'b', 'c'))
    >>> chosen == granting_entry(b'request', ('c', 'b', 'a'))
    True
    """
    return max(
        entries,
        key=lambda entry: stable_hash(f'{content.hex()} {entry}'),
    )


def may_grant(steady_seconds: float, heard_part: float) -> bool:
    """Return whether an entry knows enough to say who may try a request.

    Parameters
    ----------
    steady_seconds
        For how long it has run without a pause.
    heard_part
        Part of all entries that it hears, itself included.

    Examples
    --------
    >>> may_grant(10, 1), may_grant(10, 0.5), may_grant(1, 1)
    (True, False, False)
    """
    return steady_seconds >= STEADY_SECONDS and heard_part > _MOST_HALF


def seconds_to_try(record: CrashRecord, now: float) -> float | None:
    """Return when a request may be tried; None if it never may."""
    if record.tries >= MOST_TRIES:
        return None
    if record.tried_at is None or record.last_at > record.tried_at:
        return 0
    return max(0, record.tried_at + TRY_SECONDS - now)
