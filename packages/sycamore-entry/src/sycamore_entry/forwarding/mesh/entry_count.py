"""Number of entries that share the limits of the fleet."""

from sycamore_core.membership import Membership, place_in_cell
from sycamore_core.telemetry import Log

from ..context import ForwardingContext


class EntryCount:
    """Tells the components of one entry how many entries there are.

    Attributes
    ----------
    known
        Entries that are known, including this one and those that are lost.
    """

    def __init__(
        self,
        context: ForwardingContext,
        membership: Membership,
    ) -> None:
        self.context = context
        self.membership = membership
        self.log = Log('mesh')
        self.known = 1
        self._update_fractions()

    def update(self, now: float) -> None:
        """Take the numbers from the membership; log changes.

        Parameters
        ----------
        now
            Monotonic time, in seconds.
        """
        membership = self.membership
        seeds = self.context.settings.seeds
        self.known = len({*membership.members, *seeds, membership.address})
        self._observe(self.known, is_discovered=has_contact(membership, seeds))
        self._update_fractions()
        self._update_limits()
        count = membership.expected_count
        previous = self.context.entry_count
        self.context.entry_count = count
        if count != previous:
            self.log.info(
                'entries_counted',
                entries=count,
                previous=previous,
                lost=len(membership.members) + 1 - count,
                process_seconds=round(now - self.context.started_at, 3),
            )

    def apply_report(self, known_entries: int) -> None:
        """Apply the number of entries that a peer knows."""
        self._observe(known_entries, is_discovered=False)

    def _update_fractions(self) -> None:
        """Update the part of the rates of endpoints that is used."""
        seeds = self.context.settings.seeds
        fraction: float = 0
        if has_contact(self.membership, seeds):
            fraction = self.membership.reporting_fraction
        dispatcher = self.context.dispatcher
        dispatcher.limits.reporting_fraction = fraction
        dispatcher.cold.limits.reporting_fraction = fraction

    def _update_limits(self) -> None:
        """Update the numbers by which requests and reads are spaced."""
        membership = self.membership
        cell_count = len(membership.own_cell_addresses()) + 1
        dispatcher = self.context.dispatcher
        dispatcher.limits.entry_count = cell_count
        dispatcher.cold.limits.entry_count = cell_count
        dispatcher.cold.limits.fleet_count = len(membership.members) + 1
        # Lost entries may still read.
        read_limit = self.context.keeper.read_limit
        read_limit.entries = self.context.fleet_size.largest
        read_limit.place = place_in_cell(membership)

    def _observe(self, entries: int, *, is_discovered: bool) -> None:
        """Update the number by which limits are divided; log its changes."""
        size = self.context.fleet_size
        previous = size.divisor
        size.observe(entries, is_discovered=is_discovered)
        if size.divisor != previous:
            self.log.info(
                'limits_divided',
                entries=size.divisor,
                previous=previous,
            )


def has_contact(membership: Membership, seeds: tuple[str, ...]) -> bool:
    """Return whether an entry knows another one, or is the only one.

    An entry that has discovered no other, although there are seeds, is most
    likely not alone. Without this, all entries that start together would each
    use the whole limit.
    """
    return bool(membership.members) or not membership.seeds_to_contact(seeds)
