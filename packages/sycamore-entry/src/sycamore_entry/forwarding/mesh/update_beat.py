"""Waits until an entry tells the others what has changed."""

import asyncio
import contextlib

from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import TELL_SECONDS, UpdatePace
from sycamore_core.membership import Membership


class UpdateBeat:
    """The moments at which one entry tells its cell something.

    Parameters
    ----------
    has_sent
        Set when a request has been sent, of which the others are told at once.
    """

    def __init__(
        self,
        has_sent: asyncio.Event,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self.has_sent = has_sent
        self.membership = membership
        self.clock = clock
        self.pace = UpdatePace()

    async def wait(self) -> None:
        """Wait until a request is sent, or else until the next beat."""
        pause = self.pace.beat_seconds(self.clock.monotonic())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause or TELL_SECONDS):
                await self.has_sent.wait()
                await asyncio.sleep(self._urgent_seconds())
        self.has_sent.clear()

    def told(self, now: float) -> None:
        """Note that the cell was told something."""
        self.pace.told(self._peers, now)

    @property
    def _peers(self) -> int:
        return len(self.membership.near())

    def _urgent_seconds(self) -> float:
        now = self.clock.monotonic()
        return self.pace.urgent_seconds(self._peers, now)
