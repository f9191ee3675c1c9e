"""Signals that a process handles until it is about to end.

The handlers of an event loop run late if the loop is late, and are removed as
it closes. A signal would then end the process by its default action, although
its stop is done.
"""

import abc
import asyncio
import signal
from collections.abc import Mapping
from types import FrameType

#: Signals that stop a process.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalEvents(abc.ABC):
    """Sets an event at each signal, until signals are ignored.

    Used in the main thread of the process.
    """

    def __init__(self, events: Mapping[int, asyncio.Event]) -> None:
        self._events = events
        self._loop = asyncio.get_running_loop()

    @abc.abstractmethod
    def note(self, number: int) -> None:
        """Note that a signal has arrived, within milliseconds.

        This may interrupt any code, and may only set attributes.
        """

    def handle(self) -> None:
        """Handle all signals from now on."""
        for number in self._events:
            signal.signal(number, self._set_event)

    def ignore(self) -> None:
        """Ignore all signals, because the process is about to end."""
        for number in self._events:
            signal.signal(number, signal.SIG_IGN)

    def _set_event(self, number: int, frame: FrameType | None) -> None:
        self.note(number)
        # This also wakes up an event loop that waits.
        self._loop.call_soon_threadsafe(self._events[number].set)
