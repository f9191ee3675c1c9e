"""Writes the files of a fleet and the command lines of its processes."""

import itertools
import pathlib
from typing import Self

import msgspec
from sycamore_core.ids import EndpointId, EntryId
from sycamore_core.platform import InstanceEntry
from sycamore_core.settings import (
    EndpointProcessSettings,
    EntryProcessSettings,
)
from sycamore_core.settings.tree import EndpointNode

from ..relay.relay import RelayRoute
from .addresses import AddressPool
from .files import FleetFolder
from .plan import EntryPlan, FleetPlan, ModelPlan, PlainPlan
from .process import ManagedProcess
from .roster import PLATFORM, Roster

_SETTINGS_OPTION = '--settings'
_RUN = 'run'
_fleet_numbers = itertools.count()


class PeerAddresses(msgspec.Struct, frozen=True):
    """Where a process listens, and what it tells its peers."""

    listen: str
    advertise: str


class FleetBuilder:
    """Builds the parts of one fleet, one process after the other."""

    def __init__(
        self,
        plan: FleetPlan,
        folder: FleetFolder,
        pool: AddressPool,
        *,
        relayed: bool,
    ) -> None:
        self.plan = plan
        self.folder = folder
        self.pool = pool
        self.relayed = relayed
        self.keys = folder.write_key()
        self.roster = Roster()
        self.peers: dict[str, PeerAddresses] = {}

    @classmethod
    def from_plan(
        cls,
        plan: FleetPlan,
        folder: pathlib.Path,
        *,
        relayed: bool,
    ) -> Self:
        """Return a builder with addresses that no other fleet uses."""
        pool = AddressPool.for_fleet(next(_fleet_numbers))
        return cls(plan, FleetFolder(folder), pool, relayed=relayed)

    def build(self) -> Roster:
        """Return all parts; the files are written, nothing is started."""
        self.add_standin(PLATFORM, PLATFORM)
        self.add_addresses()
        for number, model in enumerate(self.plan.models):
            self.add_model(EndpointId(f'model-{number}'), model)
        for number, plain in enumerate(self.plan.plains):
            self.add_plain(EndpointId(f'plain-{number}'), plain)
        for number, entry in enumerate(self.plan.entries):
            self.add_entry(EntryId(f'entry-{number}'), entry)
        return self.roster

    def add_standin(self, name: str, module: str, *options: str) -> None:
        """Add a stand-in, which takes its address from its options."""
        host = self.pool.host
        port = self.pool.port()
        self.roster.urls[name] = self.http(port)
        self.add_process(
            name,
            f'sycamore_standins.{module}',
            f'--host={host}',
            f'--port={port}',
            *options,
        )

    def add_model(self, name: EndpointId, plan: ModelPlan) -> None:
        """Add an engine and its endpoint process."""
        backend = f'{name}-engine'
        self.roster.engines.append(backend)
        profile = self.folder.write_settings(f'{backend}-profile', plan.profile)
        checks = (
            'checks-fencing' if plan.checks_fencing else 'no-checks-fencing'
        )
        self.add_standin(
            backend,
            'engine',
            f'--profile={profile}',
            f'--{checks}',
            self.folder.journal_option(backend),
        )
        self.add_endpoint(
            self.endpoint_settings(name, plan, backend),
            EndpointNode(
                service=plan.service,
                zone=plan.zone,
                address='',
                capacity_tokens=plan.profile.memory_tokens,
            ),
        )

    def add_plain(self, name: EndpointId, plan: PlainPlan) -> None:
        """Add a plain service and its endpoint process."""
        backend = f'{name}-service'
        self.roster.plain_services.append(backend)
        delay = f'--delay-seconds={plan.delay_seconds}'
        journal = self.folder.journal_option(backend)
        self.add_standin(backend, 'plain', delay, journal)
        self.add_endpoint(
            self.endpoint_settings(name, plan, backend),
            EndpointNode(service=plan.service, zone=plan.zone, address=''),
        )

    def add_endpoint(
        self,
        settings: EndpointProcessSettings,
        node: EndpointNode,
    ) -> None:
        """Add an endpoint process and publish where it listens."""
        name = settings.name
        path = self.folder.write_settings(name, settings)
        self.roster.urls[name] = self.http(settings.http_port)
        self.add_process(
            name, 'sycamore_endpoint', _RUN, _SETTINGS_OPTION, path
        )
        address = settings.advertise
        self.roster.endpoints[name] = EndpointNode(
            service=node.service,
            zone=node.zone,
            address=address,
            capacity_tokens=node.capacity_tokens,
        )
        self.roster.instances[name] = InstanceEntry(name, address)

    def add_entry(self, name: EntryId, plan: EntryPlan) -> None:
        """Add an entry process."""
        self.roster.entries.append(name)
        settings = EntryProcessSettings(
            name=name,
            zone=plan.zone,
            http_host=self.pool.host,
            http_port=self.pool.port(),
            listen=self.peers[name].listen,
            advertise=self.peers[name].advertise,
            seed_peers=self.seeds(name),
            settings_url=self.roster.urls[PLATFORM],
            instances_url=self.roster.urls[PLATFORM],
            peer_keys=self.keys,
        )
        path = self.folder.write_settings(name, settings)
        self.roster.urls[name] = self.http(settings.http_port)
        self.add_process(name, 'sycamore_entry', _RUN, _SETTINGS_OPTION, path)

    def add_process(self, name: str, *arguments: str) -> None:
        """Add a process by what ``python -m`` is given."""
        log = self.folder.log(name)
        self.roster.processes[name] = ManagedProcess(name, arguments, log)

    def endpoint_settings(
        self,
        name: EndpointId,
        plan: ModelPlan | PlainPlan,
        backend: str,
    ) -> EndpointProcessSettings:
        """Return the settings of an endpoint process."""
        platform = self.roster.urls[PLATFORM]
        return EndpointProcessSettings(
            name=name,
            zone=plan.zone,
            http_host=self.pool.host,
            http_port=self.pool.port(),
            listen=self.peers[name].listen,
            advertise=self.peers[name].advertise,
            seed_peers=self.seeds(name),
            backend_url=self.roster.urls[backend],
            settings_url=platform,
            instances_url=platform,
            weights_url=platform,
            engine_checks_fencing=getattr(plan, 'checks_fencing', True),
            peer_keys=self.keys,
        )

    def add_addresses(self) -> None:
        """Choose where each process of the system listens."""
        names = [
            *(f'model-{number}' for number, _ in enumerate(self.plan.models)),
            *(f'plain-{number}' for number, _ in enumerate(self.plan.plains)),
            *(f'entry-{number}' for number, _ in enumerate(self.plan.entries)),
        ]
        for name in names:
            self.peers[name] = self.peer_addresses(name)

    def peer_addresses(self, name: str) -> PeerAddresses:
        """Return where a process listens and what it tells its peers."""
        port = self.pool.port()
        listen = self.tcp(port)
        if not self.relayed:
            return PeerAddresses(listen, listen)
        relay_port = self.pool.port()
        self.roster.routes[name] = RelayRoute(self.pool.host, relay_port, port)
        return PeerAddresses(listen, self.tcp(relay_port))

    def seeds(self, name: str) -> tuple[str, ...]:
        """Return the addresses of all processes but `name`."""
        return tuple(
            addresses.advertise
            for other, addresses in self.peers.items()
            if other != name
        )

    def http(self, port: int) -> str:
        """Return the HTTP address of a port."""
        host = self.pool.host
        return f'http://{host}:{port}'

    def tcp(self, port: int) -> str:
        """Return the address of a port for packets."""
        host = self.pool.host
        return f'tcp://{host}:{port}'
