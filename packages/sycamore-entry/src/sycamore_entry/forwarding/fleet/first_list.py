"""Fetches the first list of endpoints of an entry that has just started.

All entries may restart while the platform does not answer. An entry that then
waits for the answer to a read which it sent before the platform was back waits
for a second longer, and refuses all callers meanwhile.
"""

import asyncio
import contextlib

from sycamore_core.clock import Clock

from ..endpoints.time_limit import run_within
from .feed import FleetFeed, FleetSnapshot

#: Time after which the platform is read once more, besides the pending reads,
#: in seconds. A slow platform answers within a quarter of a second; a platform
#: that was silent and is back answers only new reads.
REPEAT_SECONDS = 0.25


class FirstList:
    """Fetches the first list and lets callers wait for it.

    Attributes
    ----------
    listed
        Set once a configuration and endpoints are known.
    """

    def __init__(self, feed: FleetFeed, clock: Clock) -> None:
        self.feed = feed
        self.clock = clock
        self.listed = asyncio.Event()
        self._silent_since: float | None = None

    @property
    def silent_seconds(self) -> float:
        """Return for how long the platform has not answered, in seconds."""
        if self._silent_since is None:
            return 0
        return self.clock.monotonic() - self._silent_since

    async def wait(self, seconds: float) -> None:
        """Wait until endpoints are listed or the time has passed."""
        # The caller checks `FleetKeeper.is_ready` afterwards.
        with contextlib.suppress(TimeoutError):
            await run_within(self.listed.wait(), seconds)

    async def fetch(self) -> FleetSnapshot:
        """Return the state of the platform; repeat the read while it is silent.

        Raises
        ------
        PlatformError
            If the platform answers that it cannot be read.
        """
        reads: set[asyncio.Task[FleetSnapshot]] = set()
        try:
            return await self._first_answer(reads)
        finally:
            for task in reads:
                task.cancel()
            await asyncio.gather(*reads, return_exceptions=True)

    def record_silence(self) -> None:
        """Record that the platform does not answer."""
        if self._silent_since is None:
            self._silent_since = self.clock.monotonic()

    def record_answer(self, *, is_ready: bool) -> None:
        """Record that the platform has answered.

        Parameters
        ----------
        is_ready
            Whether a configuration and endpoints are known.
        """
        self._silent_since = None
        if is_ready:
            self.listed.set()

    async def _first_answer(
        self,
        reads: set[asyncio.Task[FleetSnapshot]],
    ) -> FleetSnapshot:
        while True:
            if not (reads and self.feed.is_receiving):
                reads.add(asyncio.create_task(self.feed.snapshot()))
            answered, _ = await asyncio.wait(
                reads,
                timeout=REPEAT_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if answered:
                return answered.pop().result()
            self.record_silence()
