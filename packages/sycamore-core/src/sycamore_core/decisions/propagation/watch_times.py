"""How long the entries of a cell watch the platform for a change.

Load pattern: the answers to all watches are lost in the moment in which the
configuration changes, on connections that stay open. Every change ends the
watches of all entries, so that they begin in step.

Only the end of a watch shows that its answer was lost. Entries whose watches
all end at the same time are blind together, and no peer tells them of the
change. Shorter watches for all would show it sooner, but operators pay for
every call, and the platform limits them.
"""

import msgspec

#: Longest watch, as a share of the time in which a change must be in force. An
#: entry without peers must find out, read once more, and be in time.
_LONGEST_SHARE = 0.9
#: Longest time between the ends of two watches in a cell, as a share of the
#: same time. One entry then learns of a lost answer early enough to tell the
#: others.
_GAP_SHARE = 0.25


class CellPlace(msgspec.Struct, frozen=True):
    """The place of an entry among the live entries of its cell.

    Attributes
    ----------
    rank
        Number of entries before this one, by address.
    entries
        Number of live entries of the cell, including this one.
    """

    rank: int = 0
    entries: int = 1


def watch_seconds(
    place: CellPlace, change_seconds: float, *, is_first: bool
) -> float:
    """Return how long an entry watches, in seconds.

    Parameters
    ----------
    change_seconds
        Time within which a change must be in force, in seconds.
    is_first
        Whether this is the first watch after one that all entries ended
        together. Its length differs by rank, so that the later ones, all of
        the same length, end one after the other.

    Examples
    --------
    >>> [
    ...     watch_seconds(CellPlace(rank, 4), 2, is_first=True)
    ...     for rank in range(4)
    ... ]
    [0.45, 0.9, 1.35, 1.8]
    >>> watch_seconds(CellPlace(0, 4), 2, is_first=False)
    1.8
    >>> watch_seconds(CellPlace(0, 1), 2, is_first=False)
    0.5
    """
    longest = min(
        change_seconds * _LONGEST_SHARE,
        change_seconds * _GAP_SHARE * place.entries,
    )
    if not is_first:
        return longest
    return longest * (place.rank + 1) / place.entries
