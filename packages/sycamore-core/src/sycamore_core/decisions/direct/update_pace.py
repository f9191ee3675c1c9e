"""When an entry sends updates of its work to its peers.

Load pattern: several prompts of half a million tokens arrive within a tenth of
a second, each at another entry. Up to seventeen of 78 engines read each of
them in parts. Parts go ahead of the prompts that an engine reads, so that an
unreported part makes all prompts on the engine miss their objectives.

If an entry sent updates only every 20 ms, a peer that places a request
meanwhile would consider engines idle that have just received a second of
reading. Short requests would collect on the last slot of an engine that two
other entries have filled.

Requests that were sent are therefore reported at once. Completed work is
reported at the regular interval; if that report is late, an engine only stays
idle for a moment longer. Both kinds count against one limit on the updates of
an entry.
"""

#: Minimum time between two updates without new requests, in seconds.
UPDATE_INTERVAL_SECONDS = 0.02
#: Maximum updates that an entry sends per second. It allows 22 peers at every
#: interval; more peers receive updates less often. The limit bounds the
#: processor time for control messages, which would otherwise grow with the
#: number of entries in a cell.
MAX_UPDATES_PER_S = 1100.0
#: Rounds of updates to all peers that may exceed the limit to report sent
#: requests. Later regular updates wait until the limit is met again. An entry
#: sends few requests within a tenth of a second.
_BURST_ROUNDS = 2


class UpdateRateLimit:
    """Limits the rate of the updates of one entry.

    Examples
    --------
    >>> limit = UpdateRateLimit()
    >>> limit.record_update(peers=44, now=10)
    >>> (
    ...     limit.regular_wait_seconds(now=10),
    ...     limit.urgent_wait_seconds(peers=44, now=10),
    ... )
    (0.04, 0)
    """

    def __init__(self) -> None:
        self._sent_at: float = 0
        # Time from which the updates that were sent are within the limit.
        self._within_limit_at: float = 0

    def record_update(self, peers: int, now: float) -> None:
        """Record that an update was sent to all peers."""
        self._sent_at = now
        self._within_limit_at = (
            max(now, self._within_limit_at) + peers / MAX_UPDATES_PER_S
        )

    def regular_wait_seconds(self, now: float) -> float:
        """Return the time until the next regular update, in seconds."""
        due = max(
            self._sent_at + UPDATE_INTERVAL_SECONDS, self._within_limit_at
        )
        return max(0, round(due - now, 6))

    def urgent_wait_seconds(self, peers: int, now: float) -> float:
        """Return the time until a sent request can be reported, in seconds."""
        burst = _BURST_ROUNDS * peers / MAX_UPDATES_PER_S
        return max(0, self._within_limit_at - burst - now)
