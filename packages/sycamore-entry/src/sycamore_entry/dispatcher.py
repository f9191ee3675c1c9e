"""Hands the scheduler's decisions to the exchanges that they are about."""

import asyncio

from .exchanges import EntryContext

#: Shortest and longest time between two looks at the queue, in seconds. The
#: shortest lets a burst of arrivals share one look; the longest bounds the
#: wait of a request whose wake-up was missed.
MIN_PAUSE_SECONDS = 0.001
MAX_PAUSE_SECONDS = 0.5


class Dispatcher:
    """The one task that asks the scheduler what is to be done next."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    async def run(self) -> None:
        """Dispatch until cancelled."""
        while True:
            self.dispatch()
            await asyncio.sleep(MIN_PAUSE_SECONDS)
            await self._wait()

    def dispatch(self) -> None:
        """Hand on all that is to be offered or given up now."""
        now = self.context.now()
        for decision in self.context.scheduler.dispatch(now):
            self.context.registry.deliver(decision.request_id, decision)

    async def _wait(self) -> None:
        now = self.context.now()
        pause = self.context.scheduler.next_wake(now) - now
        try:
            async with asyncio.timeout(min(max(pause, 0), MAX_PAUSE_SECONDS)):
                await self.context.wake.wait()
        except TimeoutError:
            return
        self.context.wake.clear()
