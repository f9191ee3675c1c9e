"""Whom an entry tells what, and how often."""

from collections.abc import Iterable

import msgspec
from sycamore_core.ids import EndpointId
from sycamore_core.membership import Membership
from sycamore_core.messages import LoadUpdate, compress
from sycamore_core.transport import Node

from .updates import UpdateWriter


class UpdateSender:
    """Sends the updates of one entry to those whom they concern."""

    def __init__(
        self,
        node: Node,
        membership: Membership,
        writer: UpdateWriter,
    ) -> None:
        self.node = node
        self.membership = membership
        self.writer = writer
        self._beat = 0

    def greet(self, address: str, now: float) -> None:
        """Introduce this entry, and ask whom the other knows."""
        greeting = msgspec.structs.replace(
            self.writer.whole(now),
            is_greeting=True,
        )
        self.node.peer(address).post(greeting)

    def changes(self, changed: set[EndpointId], now: float) -> None:
        """Tell the own cell, and the cells whose engines it is about."""
        self._tell(self.writer.changes(changed, now), self.membership.near())
        self._tell_owners(changed, now, is_whole=False)

    def everything(self, now: float) -> None:
        """Tell the own cell what there is, and each other cell a summary."""
        self._tell(self.writer.whole(now), self.membership.near())
        self._tell_owners(self.writer.book.own, now, is_whole=True)
        self._tell_cells(now)

    def _tell(self, message: LoadUpdate, addresses: Iterable[str]) -> None:
        told = compress(message)
        for address in addresses:
            self.node.peer(address).post(told)

    def _tell_cells(self, now: float) -> None:
        self._beat += 1
        for zone in self.membership.other_zones:
            partner = self.membership.partner(zone, self._beat)
            if partner is not None:
                summary = self.writer.summary(partner, now)
                self.node.peer(partner).post(compress(summary))

    def _tell_owners(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
        *,
        is_whole: bool,
    ) -> None:
        """Tell other cells what this entry has at their engines.

        What goes wrong otherwise: an entry that finds its own cell full sends
        work to another cell, whose entries go on filling the same engines
        until a summary has come round.
        """
        for zone, abroad in self.writer.by_owner(endpoints).items():
            told = msgspec.structs.replace(
                self.writer.changes(abroad, now),
                is_whole=is_whole,
                turns_per_s=0,
            )
            self._tell(told, self.membership.living_in(zone))
