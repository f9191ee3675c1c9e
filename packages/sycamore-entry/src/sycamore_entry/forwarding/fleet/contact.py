"""The contact of an entry with the platform."""

from sycamore_core.clock import Clock
from sycamore_core.errors import PlatformError
from sycamore_core.ids import SettingsVersion
from sycamore_core.telemetry import Log

from .feed import Revision


class PlatformContact:
    """Tracks when the platform answered, and how many reads failed since.

    Attributes
    ----------
    confirmed_at
        When the read began that the platform answered last, on the monotonic
        clock, in seconds; None before the first answer.
    failures
        Number of failed reads since the last answer.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.confirmed_at: float | None = None
        self.failures = 0
        self.log = Log('fleet')
        self._began_at: float = 0

    @property
    def is_lost(self) -> bool:
        """Whether the last read failed."""
        return self.failures > 0

    @property
    def age(self) -> float | None:
        """Return the seconds since the last confirmation; None before any."""
        if self.confirmed_at is None:
            return None
        return round(self.clock.monotonic() - self.confirmed_at, 3)

    def begin_read(self) -> None:
        """Record that a read begins."""
        self._began_at = self.clock.monotonic()

    def record_answer(
        self, revision: Revision, version: SettingsVersion
    ) -> bool:
        """Record that the read was answered; return whether contact was lost.

        Parameters
        ----------
        revision, version
            What the entry knows now.
        """
        failures = self.failures
        self.failures = 0
        self.confirmed_at = self._began_at
        if failures:
            self.log.info(
                'platform_regained',
                failures=failures,
                revision=revision,
                settings_version=version,
            )
        return bool(failures)

    def record_failure(
        self,
        error: PlatformError,
        revision: Revision,
        version: SettingsVersion,
    ) -> None:
        """Record that the read failed.

        Parameters
        ----------
        revision, version
            What the entry knows now.
        """
        self.failures += 1
        if self.failures > 1:
            return
        read_seconds = self.clock.monotonic() - self._began_at
        self.log.warning(
            'platform_lost',
            reason=str(error),
            read_seconds=round(read_seconds, 3),
            revision=revision,
            settings_version=version,
            settings_age=self.age,
        )
