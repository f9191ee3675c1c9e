"""Delivers the decisions of the scheduler to the exchanges."""

import asyncio

from .exchanges import EntryContext

#: Minimum and maximum interval between two dispatches. The minimum lets a burst
#: of arrivals share one dispatch. The maximum bounds the delay of a request
#: after a missed wake-up.
MIN_PAUSE_SECONDS = 0.001
MAX_PAUSE_SECONDS = 0.5


class Dispatcher:
    """The task that requests decisions from the scheduler."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    async def run(self) -> None:
        """Dispatch until cancelled."""
        while True:
            self.dispatch()
            await asyncio.sleep(MIN_PAUSE_SECONDS)
            await self._wait()

    def dispatch(self) -> None:
        """Deliver all dispatches and refusals that are due now."""
        now = self.context.now()
        for decision in self.context.scheduler.dispatch(now):
            self.context.registry.deliver(decision.request_id, decision)

    async def _wait(self) -> None:
        now = self.context.now()
        pause = self.context.scheduler.next_wake(now) - now
        try:
            async with asyncio.timeout(min(max(pause, 0), MAX_PAUSE_SECONDS)):
                await self.context.dispatch_needed.wait()
        except TimeoutError:
            return
        self.context.dispatch_needed.clear()
