"""Asks peers for a configuration that the platform does not show here."""

import asyncio

from sycamore_core.messages import SettingsBody, SettingsWanted
from sycamore_core.platform import PublishedSettings, pack
from sycamore_core.transport import Peer

from ..fleet.keeper import FleetKeeper

#: How long a peer may have a newer configuration before it is asked for it,
#: in seconds. The platform shows a change within some ten milliseconds.
BEHIND_SECONDS = 0.15


class NewerSettings:
    """Exchanges configurations with peers.

    What goes wrong otherwise: the platform turns one entry away, which goes
    on serving routes and keys that are gone.
    """

    def __init__(self, keeper: FleetKeeper) -> None:
        self.keeper = keeper
        self._asked_for = 0

    def compare(self, peer: Peer, version: int) -> None:
        """Ask for a configuration that a peer has, if it stays newer.

        The platform shows a change to all within milliseconds, so that a
        peer is asked only if it has been ahead for a moment.
        """
        if version <= max(self.keeper.version, self._asked_for):
            return
        self.keeper.pace.hurry()
        self._asked_for = version
        loop = asyncio.get_running_loop()
        loop.call_later(BEHIND_SECONDS, self._ask, peer, version)

    def answer(self, peer: Peer, wanted: SettingsWanted) -> None:
        """Send the configuration in force, if it is newer than the peer's."""
        published = self.keeper.published
        if published is None or self.keeper.version <= wanted.above:
            return
        settings = PublishedSettings(self.keeper.version, published.source)
        peer.post(pack(settings))

    def take(self, peer: Peer, body: SettingsBody) -> None:
        """Take a configuration that a peer has sent."""
        self.keeper.offer_table(body)

    def _ask(self, peer: Peer, version: int) -> None:
        self._asked_for = 0
        if version > self.keeper.version:
            peer.post(SettingsWanted(above=self.keeper.version))
