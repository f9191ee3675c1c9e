"""The signal that stops a process."""

import asyncio

from .clock import Clock
from .signal_events import STOP_SIGNALS, SignalEvents


class StopSignal(SignalEvents):
    """Notes when the first stop signal arrives, until signals are ignored.

    The time to stop would begin late with the handlers of an event loop.

    Attributes
    ----------
    arrived
        Set by the event loop after the signal has arrived.
    arrived_at
        When it arrived, on the monotonic clock, in seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.arrived = asyncio.Event()
        self.arrived_at: float | None = None
        super().__init__(dict.fromkeys(STOP_SIGNALS, self.arrived))

    def note(self, number: int) -> None:
        """Note when the first signal has arrived."""
        if self.arrived_at is None:
            self.arrived_at = self.clock.monotonic()
