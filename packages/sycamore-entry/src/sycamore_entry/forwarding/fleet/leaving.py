"""Endpoints that were lately seen to leave, for peers that cannot see it."""

from collections import deque

from sycamore_core.clock import Clock
from sycamore_core.routing import EndpointLifetime

#: How long peers are told of an endpoint that leaves, in seconds: three of
#: the messages that name everything may be lost.
LEAVING_SECONDS = 4.0


class LeavingNews:
    """What was seen within `LEAVING_SECONDS`."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._seen: deque[tuple[float, EndpointLifetime]] = deque()

    def note(self, lifetime: EndpointLifetime) -> None:
        """Note that an endpoint leaves."""
        self._seen.append((self.clock.monotonic(), lifetime))

    def lately(self) -> tuple[EndpointLifetime, ...]:
        """Return the endpoints that peers are told of."""
        begin = self.clock.monotonic() - LEAVING_SECONDS
        while self._seen and self._seen[0][0] < begin:
            self._seen.popleft()
        return tuple(lifetime for _, lifetime in self._seen)
