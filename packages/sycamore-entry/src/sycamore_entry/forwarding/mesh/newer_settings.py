"""Fetches from peers a configuration that the platform does not show."""

import asyncio

from sycamore_core.messages import SettingsBody, SettingsWanted
from sycamore_core.platform import PublishedSettings, pack_settings
from sycamore_core.transport import Peer

from ..fleet.keeper import FleetKeeper

#: How long a peer may have a newer configuration before it is requested, in
#: seconds. The platform shows a change within some ten milliseconds.
REQUEST_DELAY_SECONDS = 0.15


class NewerSettings:
    """Exchanges configurations with peers.

    Without this, an entry that the platform refuses goes on serving routes and
    keys that have been removed.
    """

    def __init__(self, keeper: FleetKeeper) -> None:
        self.keeper = keeper
        self._requested_version = 0
        self._packed: SettingsBody | None = None

    def compare(self, peer: Peer, version: int) -> None:
        """Request the configuration of a peer if it stays newer.

        The platform shows a change to all entries within milliseconds, so that
        the request is sent only after a short delay.
        """
        if version <= max(self.keeper.version, self._requested_version):
            return
        self.keeper.read_limit.end_pause()
        self._requested_version = version
        loop = asyncio.get_running_loop()
        loop.call_later(REQUEST_DELAY_SECONDS, self._request, peer, version)

    def answer(self, peer: Peer, wanted: SettingsWanted) -> None:
        """Send the configuration in force, if it is newer than the peer's."""
        published = self.keeper.published
        if published is None or self.keeper.version <= wanted.above:
            return
        peer.post(self._pack(published.source))

    def apply(self, peer: Peer, body: SettingsBody) -> None:
        """Apply a configuration that a peer has sent."""
        self.keeper.apply_peer_table(body)

    def _pack(self, source: bytes) -> SettingsBody:
        """Return the message with the configuration in force.

        It is kept for the next peer: the platform may refuse many entries.
        """
        version = self.keeper.version
        packed = self._packed
        if packed is None or packed.version != version:
            packed = pack_settings(PublishedSettings(version, source))
            self._packed = packed
        return packed

    def _request(self, peer: Peer, version: int) -> None:
        self._requested_version = 0
        if version > self.keeper.version:
            peer.post(SettingsWanted(above=self.keeper.version))
