"""Reads of the settings service, one after the other, at a bounded rate."""

import math
import random

from ..clock import Clock
from ..errors import PlatformError
from ..ids import SettingsVersion
from ..states import ReadOutcome
from ..telemetry import Log, Metrics
from .pace import ReadPace
from .sources import PublishedSettings, SettingsSource
from .view import SettingsView


class PlatformWatch:
    """Watches the settings service for what is above a view.

    Parameters
    ----------
    source
        The service.
    clock
        Source of time.
    metrics
        Counts the reads.
    pace
        Times between reads.

    Attributes
    ----------
    failures
        Reads that failed in a row.
    draw
        Returns random numbers from 0 to 1, for the back-off.
    """

    def __init__(
        self,
        source: SettingsSource,
        clock: Clock,
        metrics: Metrics,
        pace: ReadPace,
    ) -> None:
        self.source = source
        self.clock = clock
        self.metrics = metrics
        self.pace = pace
        self.failures = 0
        self.draw = random.random
        self.log = Log('settings')
        self._recheck_at = -math.inf

    async def read(self, view: SettingsView) -> PublishedSettings | None:
        """Read once; return what the service shows that may be newer.

        What the view can learn from the service's silence is noted in it.
        A failed read is counted, and returns nothing.
        """
        try:
            published = await self._read(view, self.clock.monotonic())
        except PlatformError as error:
            self.failures += 1
            self.metrics.settings_read(ReadOutcome.FAILED)
            self.log.warning('settings_read_failed', reason=str(error))
            return None
        self.failures = 0
        outcome = ReadOutcome.CHANGED if published else ReadOutcome.UNCHANGED
        self.metrics.settings_read(outcome)
        return published

    def pause_after(self, started: float) -> float:
        """Return how long to wait after a read, in seconds."""
        if self.failures:
            return self.pace.back_off(self.failures, self.draw())
        spent = self.clock.monotonic() - started
        return max(self.pace.interval - spent, 0)

    def recheck_soon(self) -> None:
        """Let the next read ask whether the service shows what is in force."""
        self._recheck_at = -math.inf

    async def _read(
        self,
        view: SettingsView,
        started: float,
    ) -> PublishedSettings | None:
        if view.highest_seen and started >= self._recheck_at:
            return await self._recheck(view, started)
        published = await self.source.read_above(
            view.highest_seen,
            self.pace.wait,
        )
        if published is None:
            # A pause of this process may lie between the answer and now, so
            # it counts from when it was due at the latest.
            due = started + self.pace.wait
            view.unchanged(min(self.clock.monotonic(), due))
        else:
            self._recheck_at = started + self.pace.recheck
        return published

    async def _recheck(
        self,
        view: SettingsView,
        started: float,
    ) -> PublishedSettings | None:
        below = SettingsVersion(max(view.accepted.version - 1, 0))
        published = await self.source.read_above(below, 0)
        if published is None:
            # The service is behind what is in force here, so that its
            # silence about newer versions says nothing. That answer has no
            # body, so the next look need not wait long.
            self._recheck_at = started + self.pace.wait
            view.platform_is_behind()
            version = view.accepted.version
            self.log.warning('settings_service_stale', settings_version=version)
        else:
            self._recheck_at = started + self.pace.recheck
        return published
