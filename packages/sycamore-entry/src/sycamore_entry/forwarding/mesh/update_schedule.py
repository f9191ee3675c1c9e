"""Decides when an entry sends updates to its cell."""

import asyncio
import contextlib

from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import (
    FULL_UPDATE_SECONDS,
    UPDATE_INTERVAL_SECONDS,
    UpdateRateLimit,
)
from sycamore_core.decisions.late_checks import LateChecks
from sycamore_core.membership import Membership

#: Number of intervals between full updates above which the entry was late.
_MAX_INTERVALS = 1.5


class UpdateSchedule:
    """The times at which one entry sends updates to its cell.

    Parameters
    ----------
    has_sent
        Set when a request has been sent, which is reported at once.

    Attributes
    ----------
    late_checks
        Tells whether this entry was late, so that updates of peers are unread.
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
        self.rate_limit = UpdateRateLimit()
        self.late_checks = LateChecks(_MAX_INTERVALS * FULL_UPDATE_SECONDS)

    async def wait(self) -> None:
        """Wait until a request is sent or the regular interval ends."""
        pause = self.rate_limit.regular_wait_seconds(self.clock.monotonic())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause or UPDATE_INTERVAL_SECONDS):
                await self.has_sent.wait()
                await asyncio.sleep(self._urgent_wait_seconds())
        self.has_sent.clear()

    def record_update(self, now: float) -> None:
        """Record that an update was sent to the cell."""
        self.rate_limit.record_update(self._peer_count, now)

    @property
    def _peer_count(self) -> int:
        return len(self.membership.own_cell_addresses())

    def _urgent_wait_seconds(self) -> float:
        now = self.clock.monotonic()
        return self.rate_limit.urgent_wait_seconds(self._peer_count, now)
