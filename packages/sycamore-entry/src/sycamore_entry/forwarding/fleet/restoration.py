"""Notices that the platform has come back from an older copy of itself."""

from sycamore_core.clock import Clock
from sycamore_core.telemetry import Log

from .feed import UNKNOWN_EPOCH, Epoch

#: Time after such a return in which the copy may still list endpoints that are
#: gone, in seconds: their registrations lapse within it.
SETTLE_SECONDS = 8.0


class Restoration:
    """The epoch of the platform, and whether it has just changed.

    Attributes
    ----------
    epoch
        Of the latest answer that named one.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.epoch = UNKNOWN_EPOCH
        self.log = Log('fleet')
        self._restored_at: float | None = None

    @property
    def is_settling(self) -> bool:
        """Whether the platform may still list what is gone."""
        if self._restored_at is None:
            return False
        return self.clock.monotonic() - self._restored_at < SETTLE_SECONDS

    def note(self, epoch: Epoch) -> bool:
        """Take the epoch of an answer; return whether it is another one."""
        if epoch in {UNKNOWN_EPOCH, self.epoch}:
            return False
        known = self.epoch
        self.epoch = epoch
        if known == UNKNOWN_EPOCH:
            return False
        self._restored_at = self.clock.monotonic()
        self.log.warning('platform_restored', epoch=epoch, known_epoch=known)
        return True

    def take_settled(self) -> bool:
        """Return once, after a return, that all is to be listed anew."""
        if self._restored_at is None or self.is_settling:
            return False
        self._restored_at = None
        return True
