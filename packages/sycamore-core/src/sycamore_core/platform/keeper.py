"""Updates of the settings of one process, from the platform and from peers."""

import asyncio
from collections.abc import Callable
from typing import Self

import msgspec

from ..clock import Clock, SystemClock
from ..errors import PlatformError
from ..ids import SettingsVersion, ZoneId
from ..messages import SettingsBody, SettingsWanted
from ..settings import (
    EndpointProcessSettings,
    EntryProcessSettings,
    FleetSettings,
)
from ..states import SettingsVerdict
from ..telemetry import Gauge, Log, Metrics, error_fields
from .bodies import unpack_settings
from .claims import SettingsClaim
from .http_sources import HttpSettingsSource
from .peers import NoPeers, SettingsPeers
from .readers import is_reader, rank_in_zone
from .schedule import ReadSchedule
from .sources import SettingsSource
from .view import SettingsView
from .watcher import SettingsWatcher

#: Time for which a starting process waits for its seed peers, in seconds.
#: A live peer answers in milliseconds; a dead peer must not block the start.
SEED_TIMEOUT_SECONDS = 2.0
#: Time between requests to seed peers that have not answered, in seconds.
_SEED_REQUEST_SECONDS = 0.25
#: Interval at which a process that is not a reader checks whether it has to
#: become one, in seconds.
_READER_CHECK_SECONDS = 0.5

Listener = Callable[[FleetSettings], None]


class ZoneMember(msgspec.Struct, frozen=True):
    """The name and the zone of this process."""

    name: str
    zone: ZoneId


class SettingsKeeper:
    """Holds the settings in force and applies newer ones.

    One task (`run`) reads the platform; `offer_from_peer` receives the
    settings that peers send. The settings in force never revert to an older
    tree, see `AcceptedSettings`.

    Parameters
    ----------
    member
        This process.
    source
        The platform's settings service.
    clock
        Source of time.
    metrics
        Counts reads and verdicts; records version and age.
    peers
        Seed peers from which settings are requested at the start.
    schedule
        Intervals between reads.
    """

    def __init__(
        self,
        member: ZoneMember,
        source: SettingsSource,
        clock: Clock,
        metrics: Metrics,
        peers: SettingsPeers | None = None,
        schedule: ReadSchedule | None = None,
    ) -> None:
        self.member = member
        self.clock = clock
        self.metrics = metrics
        self.peers = peers or NoPeers()
        self.view = SettingsView()
        self.watcher = SettingsWatcher(
            source, clock, metrics, schedule or ReadSchedule()
        )
        self.listeners: list[Listener] = []
        self.log = Log('settings')
        self._pending_seeds = set(self.peers.addresses)
        self._changed = asyncio.Event()
        metrics.export_gauge(Gauge.SETTINGS_AGE, lambda: self.age)

    @classmethod
    def from_settings(
        cls,
        settings: EntryProcessSettings | EndpointProcessSettings,
        metrics: Metrics,
        peers: SettingsPeers | None = None,
    ) -> Self:
        """Return the keeper of a process that reads the platform over HTTP."""
        return cls(
            ZoneMember(settings.name, settings.zone),
            HttpSettingsSource(settings.settings_url),
            SystemClock(),
            metrics,
            peers,
        )

    @property
    def fleet(self) -> FleetSettings | None:
        """Return the settings in force; None before the first are accepted."""
        return self.view.accepted.fleet

    @property
    def version(self) -> SettingsVersion:
        """Return the version in force; 0 before the first is accepted."""
        return self.view.accepted.version

    @property
    def body(self) -> SettingsBody:
        """Return the tree in force as a message; version 0 if there is none."""
        return self.view.body

    @property
    def age(self) -> float:
        """Return the seconds since the last confirmation, or infinity."""
        return self.clock.monotonic() - self.view.confirmed_at

    @property
    def claim(self) -> SettingsClaim:
        """Return the claim to send in heartbeats and load reports."""
        return self.view.claim(self.clock.monotonic())

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with the settings in force and with newer ones."""
        self.listeners.append(listener)
        if self.fleet is not None:
            _notify(listener, self.fleet, self.log)

    def handle_claim(self, claim: SettingsClaim) -> SettingsWanted | None:
        """Handle a peer's claim; return the request to send it, if any."""
        return self.view.handle_claim(claim, self.clock.monotonic())

    def answer(self, wanted: SettingsWanted) -> SettingsBody | None:
        """Return the answer to a peer's request, if there is one."""
        return self.view.answer(wanted)

    def offer_from_peer(
        self,
        offered: SettingsBody,
        address: str = '',
    ) -> SettingsVerdict:
        """Apply the settings that a peer sent if they are newer and valid.

        Parameters
        ----------
        address
            The peer's address. A starting process uses it to tell which of
            its seed peers have answered.
        """
        self._pending_seeds.discard(address)
        self._changed.set()
        if offered.version <= 0:
            return SettingsVerdict.OLDER
        try:
            published = unpack_settings(offered)
        except PlatformError as error:
            self.log.warning('settings_of_peer_unreadable', reason=str(error))
            return SettingsVerdict.INVALID
        verdict = self.view.accepted.offer(published)
        if verdict is SettingsVerdict.ACCEPTED:
            # The platform has not shown this tree yet; check whether it does.
            self.watcher.request_recheck()
        self._handle_verdict(verdict)
        return verdict

    async def wait_for_settings(self, timeout_seconds: float) -> FleetSettings:
        """Return the settings with which the process starts.

        They come from the platform or from a peer, whichever has the higher
        version. Seed peers have `SEED_TIMEOUT_SECONDS` to answer.

        Raises
        ------
        PlatformError
            If no valid settings arrive in time.
        """
        started = self.clock.monotonic()
        while True:
            waited = self.clock.monotonic() - started
            seeds_done = (
                not self._pending_seeds or waited >= SEED_TIMEOUT_SECONDS
            )
            if seeds_done and self.fleet is not None:
                return self.fleet
            if waited > timeout_seconds:
                raise PlatformError(_missing_settings_reason(self.view))
            await self._request_from_seeds()

    async def run(self) -> None:
        """Read and watch the platform until cancelled."""
        while True:
            if self._is_reader():
                await self._read()
            else:
                await asyncio.sleep(_READER_CHECK_SECONDS)

    def _is_reader(self) -> bool:
        if self.fleet is None:
            return True
        names = (
            endpoint.endpoint
            for endpoint in self.fleet.endpoints.values()
            if endpoint.zone == self.member.zone
        )
        rank = rank_in_zone(self.member.name, self.member.zone, names)
        return is_reader(rank, self.age)

    async def _read(self) -> None:
        started = self.clock.monotonic()
        published = await self.watcher.read(self.view)
        if published is not None:
            self._handle_verdict(self.view.apply_published(published, started))
        await asyncio.sleep(self.watcher.seconds_to_next_read(started))

    async def _request_from_seeds(self) -> None:
        self.peers.request(self._pending_seeds, SettingsWanted(above=0))
        self._changed.clear()
        try:
            async with asyncio.timeout(_SEED_REQUEST_SECONDS):
                await self._changed.wait()
        except TimeoutError:
            return

    def _handle_verdict(self, verdict: SettingsVerdict) -> None:
        self.metrics.settings_offered(verdict)
        accepted = self.view.accepted
        if verdict is SettingsVerdict.INVALID and accepted.refused is not None:
            self.log.error(
                'settings_refused',
                settings_version=self.version,
                refused_version=accepted.refused.rank.version,
                reason=accepted.refused.reason,
            )
        if verdict is SettingsVerdict.CONFLICT:
            self.log.error('settings_conflict', settings_version=self.version)
        if verdict is SettingsVerdict.ACCEPTED and accepted.fleet is not None:
            self._notify_listeners(accepted.fleet)

    def _notify_listeners(self, fleet: FleetSettings) -> None:
        self.metrics.settings_version(fleet.version)
        self.log.info('settings_accepted', settings_version=fleet.version)
        self._changed.set()
        for listener in tuple(self.listeners):
            _notify(listener, fleet, self.log)


def _notify(listener: Listener, fleet: FleetSettings, log: Log) -> None:
    try:
        listener(fleet)
    except Exception as error:
        # A listener that fails must neither stop later reads nor keep the
        # settings from the other listeners.
        log.error('settings_listener_failed', **error_fields(error))


def _missing_settings_reason(view: SettingsView) -> str:
    refused = view.accepted.refused
    if refused is None:
        return 'no settings received from the platform or a peer'
    version = refused.rank.version
    return f'settings version {version} is refused: {refused.reason}'
