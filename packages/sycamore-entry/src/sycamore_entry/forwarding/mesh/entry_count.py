"""Number of entries that share the limits of the fleet."""

from sycamore_core.membership import Membership
from sycamore_core.telemetry import Log

from ..context import ForwardingContext


class EntryCount:
    """Updates the number of entries that one entry believes in."""

    def __init__(
        self,
        context: ForwardingContext,
        membership: Membership,
    ) -> None:
        self.context = context
        self.membership = membership
        self.log = Log('mesh')
        self._created_at = context.clock.monotonic()

    def update(self, now: float) -> None:
        """Take the number from the membership; log each change.

        Parameters
        ----------
        now
            Monotonic time, in seconds.
        """
        count = self.membership.expected_count
        previous = self.context.entry_count
        self.context.entry_count = count
        if count != previous:
            self.log.info(
                'entries_counted',
                entries=count,
                previous=previous,
                lost=len(self.membership.members) + 1 - count,
                process_seconds=round(now - self._created_at, 3),
            )
