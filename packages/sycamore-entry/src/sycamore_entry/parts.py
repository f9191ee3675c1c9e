"""The parts of an entry process, put together from its settings."""

import dataclasses
import secrets
import time
from typing import Self

from sycamore_core.clock import Clock
from sycamore_core.decisions import Scheduler
from sycamore_core.identity import IdKind, RequestClaims, RequestIdSigner
from sycamore_core.ids import Incarnation, PeerId, RequestId
from sycamore_core.messages import PacketCodec, PeerKeys
from sycamore_core.platform import SeedPeers, SettingsClaim, SettingsKeeper
from sycamore_core.settings import EntryProcessSettings, FleetSettings
from sycamore_core.telemetry import Attainment, Gauge, Log, Metrics
from sycamore_core.transport import Node, NodeAddress

from .exchanges import EntryContext, ExchangeRegistry
from .fleet import EndpointLinks
from .peers import PeerHandler, SchedulerFeed
from .records import RecordBook
from .reservations import Reservations
from .web import WebContext

_NONCE_BYTES = 9


class IdMint:
    """Mints the ids of requests that may run at any endpoint."""

    def __init__(
        self,
        signer: RequestIdSigner,
        minter: PeerId,
        incarnation: Incarnation,
        clock: Clock,
    ) -> None:
        self.signer = signer
        self.minter = minter
        self.incarnation = incarnation
        self.clock = clock

    def mint(self, workspace: str, service: str, key: str = '') -> RequestId:
        """Return a new id, or the one id that belongs to a caller's key.

        A caller that sends its key again, through any entry, must reach the
        run that it has started before: the id is made from the key alone.
        """
        if key:
            return self.signer.mint(_key_claims(workspace, service, key))
        return self.signer.mint(
            RequestClaims(
                kind=IdKind.ENTRY,
                workspace=workspace,
                service=service,
                minter=self.minter,
                incarnation=self.incarnation,
                issued=self.clock.monotonic(),
                nonce=secrets.token_urlsafe(_NONCE_BYTES),
            ),
        )


@dataclasses.dataclass
class EntryParts:
    """The parts that a running process needs at hand."""

    node: Node
    keeper: SettingsKeeper
    context: EntryContext
    web: WebContext

    @classmethod
    def from_settings(
        cls,
        settings: EntryProcessSettings,
        scheduler: Scheduler,
        clock: Clock,
    ) -> Self:
        """Return the parts of one process.

        Raises
        ------
        SettingsError
            If the peer keys cannot be read.
        """
        keys = PeerKeys.from_files(
            settings.peer_keys.files,
            settings.peer_keys.signing,
        )
        incarnation = Incarnation(time.time_ns())
        node = _make_node(settings, keys, incarnation, clock)
        metrics = Metrics(settings.name)
        seeds = SeedPeers(node, settings.seed_peers)
        metrics.watch_transport(node.counts)
        keeper = SettingsKeeper.from_settings(settings, metrics, seeds)
        context = _make_context(settings, scheduler, clock, keeper)
        reservations = Reservations()
        node.serve_peer = PeerHandler(context, reservations, keeper).serve
        signer = RequestIdSigner(keys)
        minter = PeerId(settings.name)
        mint = IdMint(signer, minter, incarnation, clock)
        web = WebContext(
            entry=context,
            signer=signer,
            reservations=reservations,
            current_fleet=lambda: keeper.fleet,
            new_request_id=mint.mint,
        )
        return cls(node, keeper, context, web)

    def take_settings(self, fleet: FleetSettings) -> None:
        """Take a newer settings tree into force."""
        self.context.scheduler.update_settings(fleet, self.context.now())
        self.context.links.update(fleet, self.node)
        self.context.wake.set()


def _key_claims(workspace: str, service: str, key: str) -> RequestClaims:
    return RequestClaims(
        kind=IdKind.ENTRY,
        workspace=workspace,
        service=service,
        minter=PeerId(''),
        incarnation=Incarnation(0),
        issued=0,
        nonce=key,
    )


def _make_context(
    settings: EntryProcessSettings,
    scheduler: Scheduler,
    clock: Clock,
    keeper: SettingsKeeper,
) -> EntryContext:
    feed = SchedulerFeed()
    context = EntryContext(
        clock=clock,
        scheduler=scheduler,
        links=EndpointLinks(
            settings.name,
            settings.zone,
            clock,
            feed,
            lambda: _claim_of(keeper),
        ),
        registry=ExchangeRegistry(),
        records=RecordBook(),
        attainment=Attainment(),
        metrics=keeper.metrics,
        log=Log('entry'),
    )
    feed.context = context
    _watch(context, keeper)
    return context


def _watch(context: EntryContext, keeper: SettingsKeeper) -> None:
    metrics = context.metrics
    registry = context.registry
    metrics.watch(Gauge.RUNNING, lambda: len(registry))
    metrics.watch(Gauge.SETTINGS_AGE, lambda: keeper.age)
    metrics.watch_attainment(context.attainment)


def _claim_of(keeper: SettingsKeeper) -> SettingsClaim:
    return keeper.claim


def _make_node(
    settings: EntryProcessSettings,
    keys: PeerKeys,
    incarnation: Incarnation,
    clock: Clock,
) -> Node:
    advertise = settings.advertise or settings.listen
    sender = PeerId(settings.name)
    return Node(
        NodeAddress(settings.listen, advertise),
        PacketCodec(keys, sender, incarnation, advertise),
        clock,
    )
