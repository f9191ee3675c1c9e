"""Fetches from peers a configuration that the platform does not show."""

import asyncio

from sycamore_core.decisions.propagation import (
    ANSWER_SECONDS,
    ClaimedVersions,
)
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

    Attributes
    ----------
    claims
        The newer versions that peers have.
    """

    def __init__(self, keeper: FleetKeeper) -> None:
        self.keeper = keeper
        self.clock = keeper.clock
        self.claims = ClaimedVersions()
        self.log = Log('mesh')
        self._peers: dict[str, Peer] = {}
        self._asked: tuple[str, ...] = ()
        self._heard_at: float | None = None
        self._next_request: asyncio.TimerHandle | None = None
        self._packed: SettingsBody | None = None

    def compare(self, peer: Peer, version: int) -> None:
        """Request a newer configuration of peers if it stays unknown.

        The platform shows a change to all entries within milliseconds, so that
        the first request is sent only after a short delay.
        """
        if version <= self.keeper.version:
            self.claims.forget(peer.address)
            return
        now = self.clock.monotonic()
        self._peers[peer.address] = peer
        is_new = self.claims.record(peer.address, version, now)
        if self._next_request is None:
            self._heard_at = now
            self._request_after(REQUEST_DELAY_SECONDS)
        if is_new:
            self.keeper.read_limit.end_pause()
            self.keeper.metrics.claims.add('heard')
            self.log.info('newer_table_claimed', **self._fields(peer.address))

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
        self.claims.record_answer(peer.address)
        self._asked = tuple(one for one in self._asked if one != peer.address)
        self.keeper.in_force.apply_peer_body(body, origin)
        if body.version > self.keeper.version:
            self.claims.record_unusable(body.version)

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

    def _request_after(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._next_request = loop.call_later(seconds, self._request)

    def _request(self) -> None:
        """Ask peers for a newer version, until it is in force."""
        self._next_request = None
        now = self.clock.monotonic()
        above = self.keeper.version
        if self.claims.newest(now) <= above:
            self._peers.clear()
            self._asked = ()
            self._heard_at = None
            return
        for unanswered in self._asked:
            self.keeper.metrics.claims.add('unanswered')
            self.log.info('table_not_sent', **self._fields(unanswered))
        # An answer of the platform may be lost, or a peer may not answer.
        self.keeper.watch.repeat()
        self._asked = self.claims.choose(above, now)
        for address in self._asked:
            self.keeper.metrics.claims.add('requested')
            self.log.info('table_requested', **self._fields(address))
            self._peers[address].post(SettingsWanted(above=above))
        self._request_after(ANSWER_SECONDS)

    def _heard_seconds(self) -> float | None:
        if self._heard_at is None:
            return None
        return round(self.clock.monotonic() - self._heard_at, 3)

    def _fields(self, peer: str) -> dict[str, object]:
        """Return the fields of a log line about a peer."""
        return {
            'peer': peer,
            'offered_version': self.claims.newest(self.clock.monotonic()),
            'settings_version': self.keeper.version,
            'settings_age': self.keeper.age,
            'heard_seconds': self._heard_seconds(),
        }
