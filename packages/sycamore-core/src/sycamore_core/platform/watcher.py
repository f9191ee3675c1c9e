"""Sequential, rate-limited reads of the settings service."""

import math
import random

from ..clock import Clock
from ..errors import PlatformError
from ..ids import SettingsVersion
from ..states import ReadOutcome
from ..telemetry import Log, Metrics
from .schedule import ReadSchedule
from .sources import PublishedSettings, SettingsSource
from .view import SettingsView


class SettingsWatcher:
    """Watches the settings service for versions above those of a view.

    Parameters
    ----------
    source
        The settings service.
    clock
        Source of time.
    metrics
        Counts the reads by outcome.
    schedule
        Intervals between reads.

    Attributes
    ----------
    failures
        Number of consecutive failed reads.
    draw_jitter
        Returns random numbers from 0 to 1 for the backoff.
    """

    def __init__(
        self,
        source: SettingsSource,
        clock: Clock,
        metrics: Metrics,
        schedule: ReadSchedule,
    ) -> None:
        self.source = source
        self.clock = clock
        self.metrics = metrics
        self.schedule = schedule
        self.failures = 0
        self.draw_jitter = random.random
        self.log = Log('settings')
        self._recheck_at = -math.inf

    async def read(self, view: SettingsView) -> PublishedSettings | None:
        """Read once and return the published tree if it may be newer.

        If the service reports nothing newer, the view records it. A failed
        read is counted and returns None.
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

    def seconds_to_next_read(self, started: float) -> float:
        """Return the delay between a read and the next one, in seconds.

        Parameters
        ----------
        started
            Monotonic time at which the read started, in seconds.
        """
        if self.failures:
            return self.schedule.backoff_seconds(
                self.failures, self.draw_jitter()
            )
        spent = self.clock.monotonic() - started
        return max(self.schedule.min_interval_seconds - spent, 0)

    def request_recheck(self) -> None:
        """Make the next read check that the service shows the tree in force."""
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
            self.schedule.watch_seconds,
        )
        if published is None:
            # This process may have been suspended since the answer arrived,
            # so the confirmation is not dated later than the end of the watch.
            due = started + self.schedule.watch_seconds
            view.record_unchanged(min(self.clock.monotonic(), due))
        else:
            self._recheck_at = started + self.schedule.recheck_seconds
        return published

    async def _recheck(
        self,
        view: SettingsView,
        started: float,
    ) -> PublishedSettings | None:
        below = SettingsVersion(max(view.accepted.version - 1, 0))
        published = await self.source.read_above(below, 0)
        if published is None:
            # The service is behind the tree in force here, so the absence of
            # newer versions confirms nothing. This answer has no body, so
            # the next check can come soon.
            self._recheck_at = started + self.schedule.watch_seconds
            view.record_platform_behind()
            version = view.accepted.version
            self.log.warning('settings_service_stale', settings_version=version)
        else:
            self._recheck_at = started + self.schedule.recheck_seconds
        return published
