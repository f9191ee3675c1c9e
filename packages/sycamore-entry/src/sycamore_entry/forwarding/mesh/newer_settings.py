"""Fetches from peers a configuration that the platform does not show."""

import asyncio

from sycamore_core.messages import SettingsBody, SettingsWanted
from sycamore_core.platform import PublishedSettings, pack_settings
from sycamore_core.telemetry import Log
from sycamore_core.transport import Peer

from ..fleet.keeper import FleetKeeper
from ..fleet.table_origin import TableOrigin

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
        self._heard_at: float | None = None
        self.log = Log('mesh')

    def compare(self, peer: Peer, version: int) -> None:
        """Request the configuration of a peer if it stays newer.

        The platform shows a change to all entries within milliseconds, so that
        the request is sent only after a short delay.
        """
        claims = self.keeper.metrics.claims
        if version <= self.keeper.version:
            return
        if version <= self._requested_version:
            claims.add('passed_over')
            return
        claims.add('heard')
        if self._heard_at is None:
            self._heard_at = self.keeper.clock.monotonic()
        self.log.info(
            'newer_table_claimed', **self._claim_fields(peer, version)
        )
        self.keeper.read_limit.end_pause()
        self._requested_version = version
        loop = asyncio.get_running_loop()
        loop.call_later(REQUEST_DELAY_SECONDS, self._request, peer, version)

    def answer(self, peer: Peer, wanted: SettingsWanted) -> None:
        """Send the configuration in force, if it is newer than the peer's."""
        published = self.keeper.in_force.published
        if published is None or self.keeper.version <= wanted.above:
            return
        peer.post(self._pack(published.source))

    def apply(self, peer: Peer, body: SettingsBody) -> None:
        """Apply a configuration that a peer has sent."""
        origin = TableOrigin(
            'peer', peer=peer.address, heard_seconds=self._heard_seconds()
        )
        self.keeper.metrics.claims.add('answered')
        self.keeper.in_force.apply_peer_body(body, origin)

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
        if version <= self.keeper.version:
            self._heard_at = None
            return
        self.keeper.metrics.claims.add('requested')
        self.log.info('table_requested', **self._claim_fields(peer, version))
        peer.post(SettingsWanted(above=self.keeper.version))

    def _heard_seconds(self) -> float | None:
        if self._heard_at is None:
            return None
        return round(self.keeper.clock.monotonic() - self._heard_at, 3)

    def _claim_fields(self, peer: Peer, version: int) -> dict[str, object]:
        return {
            'peer': peer.address,
            'offered_version': version,
            'settings_version': self.keeper.version,
            'settings_age': self.keeper.age,
            'heard_seconds': self._heard_seconds(),
        }
