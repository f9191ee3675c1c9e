"""The first list of endpoints of an entry that has just started.

What goes wrong: all entries start anew while the platform is silent. Whoever
waits for the answer to what was asked before the platform was back waits for a
second more, and all callers of that time are refused.
"""

import asyncio

from sycamore_core.clock import Clock

from .feed import FleetFeed, FleetSnapshot

#: Time after which the platform is asked once more, beside what it was asked
#: already, in seconds. One that is slow answers within a quarter of a second;
#: one that was silent and is back answers the next question only.
ASK_AGAIN_SECONDS = 0.25


class FirstList:
    """Asks for the first list, and lets callers wait for it.

    Attributes
    ----------
    listed
        Set once there are a configuration and endpoints.
    """

    def __init__(self, feed: FleetFeed, clock: Clock) -> None:
        self.feed = feed
        self.clock = clock
        self.listed = asyncio.Event()
        self._silent_since: float | None = None

    @property
    def silent_seconds(self) -> float:
        """Return for how long the platform is known not to answer."""
        if self._silent_since is None:
            return 0
        return self.clock.monotonic() - self._silent_since

    async def wait(self, seconds: float) -> None:
        """Wait until endpoints were listed, or the time has passed."""
        try:
            async with asyncio.timeout(seconds):
                await self.listed.wait()
        except TimeoutError:
            # The caller finds out by `FleetKeeper.is_ready`.
            return

    async def ask(self) -> FleetSnapshot:
        """Return what the platform has; ask again while it is silent.

        Raises
        ------
        PlatformError
            If it answers that it cannot be read.
        """
        asked: set[asyncio.Task[FleetSnapshot]] = set()
        try:
            return await self._first_answer(asked)
        finally:
            for task in asked:
                task.cancel()
            await asyncio.gather(*asked, return_exceptions=True)

    def note_silence(self) -> None:
        """Note that the platform does not answer."""
        if self._silent_since is None:
            self._silent_since = self.clock.monotonic()

    def note_answer(self, *, is_ready: bool) -> None:
        """Note that the platform has answered.

        Parameters
        ----------
        is_ready
            Whether there are a configuration and endpoints.
        """
        self._silent_since = None
        if is_ready:
            self.listed.set()

    async def _first_answer(
        self,
        asked: set[asyncio.Task[FleetSnapshot]],
    ) -> FleetSnapshot:
        while True:
            asked.add(asyncio.create_task(self.feed.snapshot()))
            answered, _ = await asyncio.wait(
                asked,
                timeout=ASK_AGAIN_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if answered:
                return answered.pop().result()
            self.note_silence()
