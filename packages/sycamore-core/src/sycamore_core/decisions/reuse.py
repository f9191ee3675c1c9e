"""How often prompts of a service come back.

Load pattern: conversations whose turns come through any entry, or prompts
that share nothing.

Without it: an entry that presumes a cache at the home of each prompt crowds
prompts that never come back on the homes that the hash happens to choose; one
that never presumes it loses the caches that other entries have filled.
"""

#: Requests over which the rate is averaged; a change of the load pattern is
#: followed within a few hundred requests, seconds at a busy entry.
_AVERAGED_REQUESTS = 100
#: Part of the requests that come back from which on the home is believed. An
#: entry sees only the turns that come through itself, so it is set low.
_CONVINCING_RATE = 0.1


class ReuseRate:
    """Part of the requests whose prompt this entry has sent before.

    Examples
    --------
    >>> rate = ReuseRate()
    >>> rate.belief
    1
    >>> for _ in range(200):
    ...     rate.note(came_back=False)
    >>> round(rate.belief, 2)
    0.13
    """

    def __init__(self) -> None:
        self.rate = _CONVINCING_RATE

    @property
    def belief(self) -> float:
        """How far the home of a prompt is presumed to cache it, to 1."""
        return min(1, self.rate / _CONVINCING_RATE)

    def note(self, *, came_back: bool) -> None:
        """Take one more request into account."""
        self.rate += (came_back - self.rate) / _AVERAGED_REQUESTS
