"""Signals that stop an entry process or make it read its settings again."""

import asyncio
import signal
from collections.abc import Callable

from sycamore_core.signal_events import STOP_SIGNALS, SignalEvents

_RELOAD = signal.SIGHUP


class ProcessSignals(SignalEvents):
    """Sets an event at each signal, until signals are ignored.

    Parameters
    ----------
    on_stop
        Called by the handler of each stop signal, which runs within
        milliseconds even while the event loop is late. It may interrupt any
        code, and must only set attributes.

    Attributes
    ----------
    stop
        Set once the process is to stop.
    reload
        Set when the settings are to be read again.
    """

    def __init__(self, on_stop: Callable[[], None]) -> None:
        self.on_stop = on_stop
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()
        super().__init__(
            {**dict.fromkeys(STOP_SIGNALS, self.stop), _RELOAD: self.reload}
        )

    def note(self, number: int) -> None:
        """Tell that a stop signal has arrived."""
        if number in STOP_SIGNALS:
            self.on_stop()
