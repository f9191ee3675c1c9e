"""An event loop whose time passes only while nothing else is to be done."""

import asyncio
import selectors

from sycamore_core.clock import Clock


class _InstantSelector(selectors.SelectSelector):
    """Returns at once, and lets the time of its loop pass instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 1000

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError('the loop waits for ever')
        self.now += max(0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, in seconds."""

    def __init__(self) -> None:
        self.selector = _InstantSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


class VirtualClock(Clock):
    """The clock of a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def monotonic(self) -> float:
        return self.loop.time()

    def wall(self) -> float:
        return self.loop.time()
