"""Estimate of how often the prompts of a service are repeated.

Load pattern: conversations whose requests arrive at any entry, or prompts
without a common prefix.

Without the estimate, an entry must either always or never assume a cached
prefix at the home of a prompt. If it always does, prompts that are never
repeated crowd on the homes that the hash selects. If it never does, the caches
that other entries have filled are not used.
"""

#: Number of requests over which the rate is averaged. The rate follows a change
#: of the load pattern within a few hundred requests, seconds at a busy entry.
_AVERAGED_REQUESTS = 100
#: Share of repeated prompts from which the home is fully trusted to cache a
#: prompt. It is low because an entry sees only the requests it receives itself.
_FULL_TRUST_RATE = 0.1


class ReuseRate:
    """Share of the requests whose prompt this entry has sent before.

    Examples
    --------
    >>> rate = ReuseRate()
    >>> rate.home_trust
    1
    >>> for _ in range(200):
    ...     rate.record(is_repeat=False)
    >>> round(rate.home_trust, 2)
    0.13
    """

    def __init__(self) -> None:
        self.rate = _FULL_TRUST_RATE

    @property
    def home_trust(self) -> float:
        """Confidence that the home caches a prompt, from 0 to 1."""
        return min(1, self.rate / _FULL_TRUST_RATE)

    def record(self, *, is_repeat: bool) -> None:
        """Add one request to the average."""
        self.rate += (is_repeat - self.rate) / _AVERAGED_REQUESTS
