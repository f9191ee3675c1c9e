"""Keeps the settings of one process up to date, from platform and peers."""

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
from ..telemetry import Gauge, Log, Metrics
from .bodies import unpack
from .claims import SettingsClaim
from .http_sources import HttpSettingsSource
from .pace import ReadPace
from .peers import NoPeers, SettingsPeers
from .readers import is_reader, rank_in_zone
from .sources import SettingsSource
from .view import SettingsView
from .watch import PlatformWatch

#: A starting process waits this long for the peers that it asked, in seconds.
#: A live peer answers in milliseconds; a dead one must not hold up the start.
SEED_SECONDS = 2.0
#: Time between questions to seed peers that have not answered, in seconds.
_ASK_SECONDS = 0.25
#: How often a process that does not read looks whether it has to, in seconds.
_CHECK_SECONDS = 0.5

Listener = Callable[[FleetSettings], None]


class ZoneMember(msgspec.Struct, frozen=True):
    """The process as one of its zone."""

    name: str
    zone: ZoneId


class SettingsKeeper:
    """Holds the settings in force and brings in newer ones.

    One task (`run`) reads the platform; `offer_from_peer` takes what peers
    send. Whatever comes, the settings in force never go back, see
    `AcceptedSettings`.

    Parameters
    ----------
    member
        This process.
    source
        The platform's settings service.
    clock
        Source of time.
    metrics
        Counts reads, verdicts, version and age.
    peers
        Peers to ask at the start.
    pace
        Times between reads.
    """

    def __init__(
        self,
        member: ZoneMember,
        source: SettingsSource,
        clock: Clock,
        metrics: Metrics,
        peers: SettingsPeers | None = None,
        pace: ReadPace | None = None,
    ) -> None:
        self.member = member
        self.clock = clock
        self.metrics = metrics
        self.peers = peers or NoPeers()
        self.view = SettingsView()
        self.watch = PlatformWatch(source, clock, metrics, pace or ReadPace())
        self.listeners: list[Listener] = []
        self.log = Log('settings')
        self._unanswered = set(self.peers.addresses)
        self._changed = asyncio.Event()
        metrics.watch(Gauge.SETTINGS_AGE, lambda: self.age)

    @classmethod
    def from_settings(
        cls,
        settings: EntryProcessSettings | EndpointProcessSettings,
        metrics: Metrics,
        peers: SettingsPeers | None = None,
    ) -> Self:
        """Return the keeper of a process that reads the platform by HTTP."""
        return cls(
            ZoneMember(settings.name, settings.zone),
            HttpSettingsSource(settings.settings_url),
            SystemClock(),
            metrics,
            peers,
        )

    @property
    def fleet(self) -> FleetSettings | None:
        """Return the settings in force, None before the first."""
        return self.view.accepted.fleet

    @property
    def version(self) -> SettingsVersion:
        """Return the version in force, 0 before the first."""
        return self.view.accepted.version

    @property
    def body(self) -> SettingsBody:
        """Return the tree in force as a message; version 0 for none yet."""
        return self.view.body

    @property
    def age(self) -> float:
        """Return the seconds since the last confirmation; may be infinite."""
        return self.clock.monotonic() - self.view.confirmed_at

    @property
    def claim(self) -> SettingsClaim:
        """Return what to put into heartbeats and load reports."""
        return self.view.claim(self.clock.monotonic())

    def listen(self, listener: Listener) -> None:
        """Call `listener` with the settings in force and each newer one."""
        self.listeners.append(listener)
        if self.fleet is not None:
            _tell(listener, self.fleet, self.log)

    def wanted_above(self, claim: SettingsClaim) -> SettingsWanted | None:
        """Take a peer's claim; return the question to send it, if any."""
        return self.view.hear(claim, self.clock.monotonic())

    def answer(self, wanted: SettingsWanted) -> SettingsBody | None:
        """Return the answer to a peer's question, if there is one."""
        return self.view.answer(wanted)

    def offer_from_peer(
        self,
        offered: SettingsBody,
        address: str = '',
    ) -> SettingsVerdict:
        """Take the settings of a peer.

        Parameters
        ----------
        address
            The peer's address, by which a starting process knows which of
            its seed peers have answered.
        """
        self._unanswered.discard(address)
        self._changed.set()
        if offered.version <= 0:
            return SettingsVerdict.OLDER
        try:
            published = unpack(offered)
        except PlatformError as error:
            self.log.warning('settings_of_peer_unreadable', reason=str(error))
            return SettingsVerdict.INVALID
        verdict = self.view.accepted.offer(published)
        if verdict is SettingsVerdict.ACCEPTED:
            # The platform has not shown this tree yet: look whether it will.
            self.watch.recheck_soon()
        self._follow(verdict)
        return verdict

    async def wait_first(self, timeout_seconds: float) -> FleetSettings:
        """Return the settings to start with.

        They come from the platform or a peer, whichever has the higher
        version; seed peers are given `SEED_SECONDS` to answer.

        Raises
        ------
        PlatformError
            If nothing valid came in time.
        """
        started = self.clock.monotonic()
        while True:
            waited = self.clock.monotonic() - started
            settled = not self._unanswered or waited >= SEED_SECONDS
            if settled and self.fleet is not None:
                return self.fleet
            if waited > timeout_seconds:
                raise PlatformError(_why_nothing(self.view))
            await self._ask_seeds()

    async def run(self) -> None:
        """Read and watch the platform until cancelled."""
        while True:
            if self._is_reader():
                await self._read()
            else:
                await asyncio.sleep(_CHECK_SECONDS)

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
        published = await self.watch.read(self.view)
        if published is not None:
            self._follow(self.view.take_from_platform(published, started))
        await asyncio.sleep(self.watch.pause_after(started))

    async def _ask_seeds(self) -> None:
        self.peers.ask(self._unanswered, SettingsWanted(above=0))
        self._changed.clear()
        try:
            async with asyncio.timeout(_ASK_SECONDS):
                await self._changed.wait()
        except TimeoutError:
            return

    def _follow(self, verdict: SettingsVerdict) -> None:
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
            self._announce(accepted.fleet)

    def _announce(self, fleet: FleetSettings) -> None:
        self.metrics.settings_version(fleet.version)
        self.log.info('settings_accepted', settings_version=fleet.version)
        self._changed.set()
        for listener in tuple(self.listeners):
            _tell(listener, fleet, self.log)


def _tell(listener: Listener, fleet: FleetSettings, log: Log) -> None:
    try:
        listener(fleet)
    except Exception as error:
        # One part that fails to take new settings must neither stop the
        # reading of the next ones nor keep them from the other parts.
        log.error('settings_listener_failed', reason=repr(error))


def _why_nothing(view: SettingsView) -> str:
    refused = view.accepted.refused
    if refused is None:
        return 'no settings from the platform or a peer'
    version = refused.rank.version
    return f'settings version {version} is refused: {refused.reason}'
