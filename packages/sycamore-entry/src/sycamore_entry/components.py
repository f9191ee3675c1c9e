"""Construction of the components of an entry process."""

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
from .peers import LinkEventHandler, PeerHandler
from .records import RecordRegistry
from .reservations import Reservations
from .web import WebContext

_NONCE_BYTES = 9


class RequestIdMinter:
    """Mints the ids of requests that can run at any endpoint."""

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
        """Return a new id, or the id that belongs to a caller's key.

        A caller that sends its key again, through any entry, must reach the
        run that it started before. The id is therefore derived only from the
        workspace, the service and the key.
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
class EntryComponents:
    """The components that a running process uses directly."""

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
        """Return the components of one process.

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
        metrics.export_transport_counts(node.counts)
        keeper = SettingsKeeper.from_settings(settings, metrics, seeds)
        context = _make_context(settings, scheduler, clock, keeper)
        reservations = Reservations()
        node.serve_peer = PeerHandler(context, reservations, keeper).serve
        signer = RequestIdSigner(keys)
        minter = PeerId(settings.name)
        id_minter = RequestIdMinter(signer, minter, incarnation, clock)
        web = WebContext(
            entry=context,
            signer=signer,
            reservations=reservations,
            current_fleet=lambda: keeper.fleet,
            new_request_id=id_minter.mint,
        )
        return cls(node, keeper, context, web)

    def apply_settings(self, fleet: FleetSettings) -> None:
        """Apply a newer settings tree."""
        self.context.scheduler.update_settings(fleet, self.context.now())
        self.context.links.update(fleet, self.node)
        self.context.dispatch_needed.set()


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
    link_events = LinkEventHandler()
    context = EntryContext(
        clock=clock,
        scheduler=scheduler,
        links=EndpointLinks(
            settings.name,
            settings.zone,
            clock,
            link_events,
            lambda: _current_claim(keeper),
        ),
        registry=ExchangeRegistry(),
        records=RecordRegistry(),
        attainment=Attainment(),
        metrics=keeper.metrics,
        log=Log('entry'),
    )
    link_events.context = context
    _register_gauges(context, keeper)
    return context


def _register_gauges(context: EntryContext, keeper: SettingsKeeper) -> None:
    metrics = context.metrics
    registry = context.registry
    metrics.export_gauge(Gauge.RUNNING, lambda: len(registry))
    metrics.export_gauge(Gauge.SETTINGS_AGE, lambda: keeper.age)
    metrics.export_attainment(context.attainment)


def _current_claim(keeper: SettingsKeeper) -> SettingsClaim:
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
