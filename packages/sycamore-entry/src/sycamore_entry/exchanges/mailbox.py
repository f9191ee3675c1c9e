"""The queue of events for one exchange."""

import asyncio
from collections import deque

from sycamore_core.ids import EndpointId
from sycamore_core.messages import Frame

from .events import ExchangeEvent

#: Maximum number of queued events. The window of the endpoint process, which
#: is smaller, bounds the frames among them.
MAX_MAILBOX_EVENTS = 1024


class Mailbox:
    """Queued events for one exchange, and its current endpoint."""

    def __init__(self) -> None:
        self.endpoint: EndpointId | None = None
        self._events: deque[ExchangeEvent] = deque()
        self._has_events = asyncio.Event()

    @property
    def is_full(self) -> bool:
        """Whether the queue has reached its limit."""
        return len(self._events) >= MAX_MAILBOX_EVENTS

    def put(self, event: ExchangeEvent) -> None:
        """Add an event."""
        self._events.append(event)
        self._has_events.set()

    async def get(self) -> ExchangeEvent:
        """Wait for the next event and return it."""
        await self._has_events.wait()
        event = self._events.popleft()
        if not self._events:
            self._has_events.clear()
        return event

    def pop_frames(self) -> list[Frame]:
        """Remove and return the frames at the head, without waiting.

        A packet of a fast stream carries several frames. Writing each frame
        separately costs one system call a frame, which used most of a core
        at 2,000 frames a second. Writing them together costs one call.
        """
        frames: list[Frame] = []
        while self._events and isinstance(self._events[0], Frame):
            frames.append(self._events.popleft())
        if not self._events:
            self._has_events.clear()
        return frames
