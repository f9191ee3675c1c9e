"""Sends updates and summaries to the peers that they concern."""

from collections.abc import Iterable

import msgspec
from sycamore_core.errors import CodecError
from sycamore_core.ids import EndpointId
from sycamore_core.membership import Membership
from sycamore_core.messages import (
    CellSummary,
    CompressedMessage,
    LoadUpdate,
    compress,
)
from sycamore_core.transport import Node

from .updates import UpdateWriter


class UpdateSender:
    """Sends the updates of one entry to the peers that they concern."""

    def __init__(
        self,
        node: Node,
        membership: Membership,
        writer: UpdateWriter,
    ) -> None:
        self.node = node
        self.membership = membership
        self.writer = writer
        self._round = 0

    def introduce(self, address: str, now: float) -> None:
        """Introduce this entry to a peer and request its members."""
        introduction = msgspec.structs.replace(
            self.writer.full(now),
            is_introduction=True,
        )
        self.node.peer(address).post(introduction)

    def send_changes(self, changed: set[EndpointId], now: float) -> None:
        """Send changed loads to the own cell and to the engines' cells."""
        self._send(
            self.writer.changes(changed, now),
            self.membership.own_cell_addresses(),
        )
        self._send_to_owners(changed, now, is_full=False)

    def send_full(self, now: float) -> None:
        """Send a full update to the own cell, a summary to each other cell."""
        self._send(self.writer.full(now), self.membership.own_cell_addresses())
        self._send_to_owners(self.writer.registry.own, now, is_full=True)
        self._send_summaries(now)

    def _send(self, message: LoadUpdate, addresses: Iterable[str]) -> None:
        compressed = self._compress(message)
        if compressed is None:
            return
        for address in addresses:
            self.node.peer(address).post(compressed)

    def _compress(
        self, message: LoadUpdate | CellSummary
    ) -> LoadUpdate | CellSummary | CompressedMessage | None:
        """Return a message as it is sent; None if it cannot be encoded.

        One figure that no message can carry must not end the exchange.
        """
        try:
            return compress(message)
        except CodecError as error:
            self.node.failed_messages.record_unencodable(message, error)
        return None

    def _send_summaries(self, now: float) -> None:
        self._round += 1
        for zone in self.membership.other_zones:
            partner = self.membership.partner(zone, self._round)
            if partner is not None:
                summary = self._compress(self.writer.summary(partner, now))
                if summary is not None:
                    self.node.peer(partner).post(summary)

    def _send_to_owners(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
        *,
        is_full: bool,
    ) -> None:
        """Send other cells the load of this entry at their engines.

        Without this, when an entry finds its own cell full and sends requests
        to another cell, the entries there go on filling the same engines until
        the next summary arrives.
        """
        for zone, owned in self.writer.by_owner(endpoints).items():
            update = msgspec.structs.replace(
                self.writer.changes(owned, now),
                is_full=is_full,
                short_requests_per_s=0,
            )
            self._send(update, self.membership.alive_in(zone))
