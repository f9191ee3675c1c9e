"""Whether an entry should hand its callers over to others.

Load pattern: a network partition cuts one entry off from the platform and from
all other entries, while callers and some endpoints still reach it.

Without it: the entry goes on placing by its own work alone. It sends long
prompts to engines that others have filled, and each of its callers waits
several times as long as at the entry next door; new settings do not reach it
either. What it must not do is leave when the platform alone is away: then all
entries would leave at once, and nobody would be served.
"""

#: Time without an update of any other entry after which this one counts as cut
#: off, in seconds: each repeats its update every second, and two may be lost.
SILENT_SECONDS = 2.2


def is_isolated(
    peer_heard_at: float | None,
    now: float,
    *,
    platform_away: bool,
) -> bool:
    """Return whether an entry is cut off from all that others still reach.

    Parameters
    ----------
    peer_heard_at
        When another entry was last heard, on the monotonic clock; None if
        none ever was: an entry that is alone has nobody to hand over to.
    platform_away
        Whether the platform does not answer this entry.

    Examples
    --------
    >>> is_isolated(10, 13, platform_away=True)
    True
    >>> is_isolated(10, 13, platform_away=False)
    False
    >>> is_isolated(None, 13, platform_away=True)
    False
    """
    if peer_heard_at is None or not platform_away:
        return False
    return now - peer_heard_at > SILENT_SECONDS
