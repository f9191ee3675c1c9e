"""Where requests are that are suspected of the same crash.

Load pattern: an endpoint crashes under eight requests, one of which is the
cause. All of them go on to another endpoint within a millisecond.

Without it: they go on to the same one, the least loaded. It crashes as well,
and tells nothing: each of them was at both. All are held back, and callers of
seven sound requests are refused.

Where they part, one more crash tells which it was, and an answer clears each of
the others.
"""

from collections import Counter, defaultdict
from collections.abc import Set

from ...ids import ContentDigest, EndpointId


class SuspectPlaces:
    """Requests in progress of one entry that are suspected of a crash.

    Examples
    --------
    >>> places = SuspectPlaces()
    >>> places.begin(b'one', 'e1')
    >>> places.with_any({b'one', b'other'})
    {'e1'}
    >>> places.end(b'one', 'e1')
    >>> places.with_any({b'one'})
    set()
    """

    def __init__(self) -> None:
        self.by_endpoint: dict[EndpointId, Counter[ContentDigest]] = (
            defaultdict(Counter)
        )

    def begin(self, content: ContentDigest, endpoint: EndpointId) -> None:
        """Note that a request is sent to an endpoint."""
        self.by_endpoint[endpoint][content] += 1

    def end(self, content: ContentDigest, endpoint: EndpointId) -> None:
        """Note that an attempt there is over."""
        there = self.by_endpoint[endpoint]
        there[content] -= 1
        if not there[content]:
            there.pop(content)
        if not there:
            self.by_endpoint.pop(endpoint)

    def with_any(self, requests: Set[ContentDigest]) -> set[EndpointId]:
        """Return the endpoints at which any of some requests is."""
        return {
            endpoint
            for endpoint, there in self.by_endpoint.items()
            if not requests.isdisjoint(there)
        }
