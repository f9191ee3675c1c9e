"""Detects that the platform was restored from an older copy of itself."""

import math

from sycamore_core.clock import Clock
from sycamore_core.routing.directory import REREGISTRATION_SECONDS
from sycamore_core.telemetry import Log

from .feed import UNKNOWN_EPOCH, Epoch

#: Time after a restoration in which the copy may still list endpoints that are
#: gone, in seconds. Their registrations lapse within this time.
SETTLE_SECONDS = 8.0


class Restoration:
    """Tracks the epoch of the platform and its recent change.

    Attributes
    ----------
    epoch
        Epoch of the latest answer that named one.
    regained_at
        When the platform last answered again after an outage, on the
        monotonic clock, in seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.epoch = UNKNOWN_EPOCH
        self.regained_at = -math.inf
        self.log = Log('fleet')
        self._restored_at: float | None = None

    @property
    def is_settling(self) -> bool:
        """Whether the platform may still list endpoints that are gone."""
        if self._restored_at is None:
            return False
        return self.clock.monotonic() - self._restored_at < SETTLE_SECONDS

    @property
    def may_lapse_by_mistake(self) -> bool:
        """Whether registrations of live endpoints may be removed now.

        They could not be renewed during an outage, and a restored copy has
        registrations with an earlier expiry.
        """
        since_outage = self.clock.monotonic() - self.regained_at
        return since_outage < REREGISTRATION_SECONDS or self.is_settling

    def record_epoch(self, epoch: Epoch) -> bool:
        """Record the epoch of an answer; return whether it has changed."""
        if epoch in {UNKNOWN_EPOCH, self.epoch}:
            return False
        known = self.epoch
        self.epoch = epoch
        if known == UNKNOWN_EPOCH:
            return False
        self._restored_at = self.clock.monotonic()
        self.log.warning('platform_restored', epoch=epoch, known_epoch=known)
        return True

    def pop_settled(self) -> bool:
        """Return True once after a restoration, when a full list is due."""
        if self._restored_at is None or self.is_settling:
            return False
        self._restored_at = None
        return True
