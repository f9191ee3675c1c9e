"""Endpoints at which requests suspected of the same crash are in progress.

Load pattern: an endpoint crashes while it runs eight requests, one of which is
the cause. All of them are retried at another endpoint within a millisecond.

Without this, all are retried at the same endpoint, the least loaded one. It
crashes as well, and the second crash does not show the cause, because each
request ran at both endpoints. All eight are quarantined, and the callers of
seven harmless requests are refused.

If the requests are sent to different endpoints, one further crash identifies
the cause, and answers clear the others.
"""

from collections import Counter, defaultdict
from collections.abc import Set

from ...ids import ContentDigest, EndpointId


class SuspectLocations:
    """Requests in progress of one entry that are suspected of a crash.

    Attributes
    ----------
    by_endpoint
        Number of attempts in progress, by endpoint and request content.

    Examples
    --------
    >>> locations = SuspectLocations()
    >>> locations.begin(b'one', 'e1')
    >>> locations.endpoints_with_any({b'one', b'other'})
    {'e1'}
    >>> locations.end(b'one', 'e1')
    >>> locations.endpoints_with_any({b'one'})
    set()
    """

    def __init__(self) -> None:
        self.by_endpoint: dict[EndpointId, Counter[ContentDigest]] = (
            defaultdict(Counter)
        )

    def begin(self, content: ContentDigest, endpoint: EndpointId) -> None:
        """Record that a request is sent to an endpoint."""
        self.by_endpoint[endpoint][content] += 1

    def end(self, content: ContentDigest, endpoint: EndpointId) -> None:
        """Record that an attempt at an endpoint is over."""
        counts = self.by_endpoint[endpoint]
        counts[content] -= 1
        if not counts[content]:
            counts.pop(content)
        if not counts:
            self.by_endpoint.pop(endpoint)

    def endpoints_with_any(
        self, requests: Set[ContentDigest]
    ) -> set[EndpointId]:
        """Return the endpoints at which any of the requests is in progress."""
        return {
            endpoint
            for endpoint, counts in self.by_endpoint.items()
            if not requests.isdisjoint(counts)
        }
