"""The events that wait for one exchange."""

import asyncio
from collections import deque

from sycamore_core.ids import EndpointId
from sycamore_core.messages import Frame

from .events import ExchangeEvent

#: Events that may wait for one exchange. Frames are bounded by the window of
#: the endpoint process, which is smaller.
MAILBOX_EVENTS = 1024


class Mailbox:
    """Events for one exchange, and the endpoint that it talks to."""

    def __init__(self) -> None:
        self.endpoint: EndpointId | None = None
        self._events: deque[ExchangeEvent] = deque()
        self._filled = asyncio.Event()

    @property
    def is_full(self) -> bool:
        """Whether no more events are taken."""
        return len(self._events) >= MAILBOX_EVENTS

    def put(self, event: ExchangeEvent) -> None:
        """Add an event."""
        self._events.append(event)
        self._filled.set()

    async def get(self) -> ExchangeEvent:
        """Return the next event once there is one."""
        await self._filled.wait()
        event = self._events.popleft()
        if not self._events:
            self._filled.clear()
        return event

    def following_frames(self) -> list[Frame]:
        """Return the frames that are next, without waiting.

        Frames of a fast stream come several to a packet. Writing them to the
        caller one by one costs a system call each, which at 2,000 frames a
        second used up most of a core; together they cost one.
        """
        frames: list[Frame] = []
        while self._events and isinstance(self._events[0], Frame):
            frames.append(self._events.popleft())
        if not self._events:
            self._filled.clear()
        return frames
