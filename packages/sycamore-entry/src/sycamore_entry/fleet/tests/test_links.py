"""Tests of the links to endpoint processes."""

from typing import cast

import msgspec
from sycamore_core.clock import ManualClock
from sycamore_core.decisions import EndpointView
from sycamore_core.ids import (
    EndpointId,
    EntryId,
    Incarnation,
    ServiceId,
    SettingsVersion,
    ZoneId,
)
from sycamore_core.messages import Heartbeat, LoadReport, Message
from sycamore_core.platform import SettingsClaim, TreeRank
from sycamore_core.settings import EndpointSettings, FleetSettings
from sycamore_core.states import EndpointPhase
from sycamore_core.transport import Node

from .. import EndpointLinks, LinkEvents
from ..links import (
    HEARTBEAT_SECONDS,
    HEARTBEATS_A_SECOND,
    ON_DEMAND_SECONDS,
    SILENT_BEATS,
)

MODEL = EndpointId('model-1')
SILENT_SECONDS = SILENT_BEATS * HEARTBEAT_SECONDS
CLAIM = SettingsClaim(TreeRank(SettingsVersion(1), 0))


class SilentPeer:
    def __init__(self) -> None:
        self.posted: list[Message] = []

    def post(self, message: Message, *, urgent: bool = True) -> bool:
        self.posted.append(message)
        return True


class PeersOnly:
    """The part of a node that links use."""

    def __init__(self) -> None:
        self.peers: dict[str, SilentPeer] = {}
        self.forgotten: list[str] = []

    def peer(self, address: str) -> SilentPeer:
        return self.peers.setdefault(address, SilentPeer())

    def forget(self, address: str) -> None:
        self.forgotten.append(address)


class Recorder(LinkEvents):
    def __init__(self) -> None:
        self.views: list[EndpointView] = []
        self.lost: list[tuple[EndpointId, bool]] = []
        self.retired: list[EndpointId] = []
        self.busy: set[EndpointId] = set()

    def endpoint_reported(self, view: EndpointView) -> None:
        self.views.append(view)

    def endpoint_lost(self, endpoint: EndpointId, *, restarted: bool) -> None:
        self.lost.append((endpoint, restarted))

    def endpoint_retired(self, endpoint: EndpointId) -> None:
        self.retired.append(endpoint)

    def is_in_use(self, endpoint: EndpointId) -> bool:
        return endpoint in self.busy


class Scene:
    """Links of one entry with a clock and a record of events."""

    def __init__(self, count: int = 1) -> None:
        self.clock = ManualClock(start=100)
        self.events = Recorder()
        self.node = PeersOnly()
        self.links = EndpointLinks(
            EntryId('entry'),
            ZoneId('a'),
            self.clock,
            self.events,
            lambda: CLAIM,
        )
        self.update(make_fleet(count))

    def update(self, fleet: FleetSettings) -> None:
        self.links.update(fleet, cast(Node, self.node))

    def report(self, incarnation: int = 1) -> None:
        self.links.take_report(
            LoadReport(
                endpoint=MODEL,
                service=ServiceId('chat'),
                zone=ZoneId('a'),
                incarnation=Incarnation(incarnation),
                phase=EndpointPhase.LIVE,
                settings_version=1,
            ),
        )


def make_fleet(count: int) -> FleetSettings:
    numbers = range(1, count + 1)
    names = [EndpointId(f'model-{number}') for number in numbers]
    return FleetSettings(
        version=SettingsVersion(1),
        name='test',
        endpoints={
            name: EndpointSettings(
                endpoint=name,
                service=ServiceId('chat'),
                zone=ZoneId('a'),
                address=f'tcp://127.0.0.1:{number}',
            )
            for number, name in enumerate(names, start=1)
        },
    )


def test_silent_endpoint_is_lost_and_found_again() -> None:
    """An endpoint process is frozen for some seconds and wakes up.

    Requests go elsewhere meanwhile and come back to it afterwards.
    """
    scene = Scene()
    scene.report()
    scene.clock.advance(SILENT_SECONDS + 1)
    scene.links.beat()
    assert scene.events.lost == [(MODEL, False)]
    assert scene.links.find(MODEL) is None
    scene.report()
    assert scene.links.find(MODEL) is not None


def test_restart_is_noticed_at_the_first_report() -> None:
    """An endpoint process is killed and started again within a second.

    Callers whose answers it held must hear of it at once, not only when they
    run out of time.
    """
    scene = Scene()
    scene.report(incarnation=1)
    scene.report(incarnation=2)
    assert scene.events.lost == [(MODEL, True)]


def test_replaced_process_that_wakes_up_is_ignored() -> None:
    scene = Scene()
    scene.report(incarnation=2)
    scene.report(incarnation=1)
    assert scene.links.find(MODEL).incarnation == 2
    assert len(scene.events.views) == 1


def test_replacement_with_an_older_clock_is_taken_in_the_end() -> None:
    """The new instance's wall clock is half a minute behind the old one's.

    Its start looks earlier than that of the process it replaces; it must not
    stay without work for ever.
    """
    scene = Scene()
    scene.report(incarnation=2)
    scene.clock.advance(SILENT_SECONDS + 1)
    scene.links.beat()
    scene.report(incarnation=1)
    assert scene.links.find(MODEL).incarnation == 1


def test_endpoint_taken_out_of_the_settings_ends_its_runs() -> None:
    """An operator removes an endpoint while it streams an answer.

    It gets nothing new, but the answer in progress must not be cut off.
    """
    scene = Scene()
    scene.report()
    scene.events.busy.add(MODEL)
    scene.update(make_fleet(0))
    scene.links.beat()
    assert scene.events.retired == [MODEL]
    assert scene.links.find(MODEL) is None
    assert not scene.node.forgotten
    scene.events.busy.clear()
    scene.links.beat()
    assert scene.node.forgotten == ['tcp://127.0.0.1:1']


def test_moved_endpoint_is_followed_to_its_new_address() -> None:
    scene = Scene()
    scene.report()
    fleet = make_fleet(1)
    moved = msgspec.structs.replace(
        fleet.endpoints[MODEL],
        address='tcp://127.0.0.1:99',
    )
    scene.update(msgspec.structs.replace(fleet, endpoints={MODEL: moved}))
    assert scene.links.find(MODEL) is None
    scene.report(incarnation=2)
    assert scene.links.find(MODEL).address == 'tcp://127.0.0.1:99'


def test_heartbeats_go_to_a_subset_only() -> None:
    """A fleet has hundreds of endpoints; each entry talks to a few."""
    scene = Scene(count=200)
    scene.links.beat()
    assert len(scene.node.peers) < 20


def test_heartbeats_are_bounded_however_many_links_there_are() -> None:
    """Many services make many links; control must not eat up the node."""
    scene = Scene(count=200)
    for name in make_fleet(200).endpoints:
        scene.links.open(name)
    rate = len(scene.links.links) / scene.links.interval
    assert len(scene.links.links) == 200
    assert rate <= HEARTBEATS_A_SECOND


def test_entry_is_ready_once_its_endpoints_are_heard() -> None:
    """An entry has just started and knows the settings but no endpoint yet.

    The balancer must not send it requests that it would refuse.
    """
    scene = Scene()
    assert not scene.links.is_settled
    scene.report()
    assert scene.links.is_settled


def test_entry_does_not_wait_for_a_dead_endpoint_for_ever() -> None:
    scene = Scene()
    scene.clock.advance(SILENT_SECONDS + 1)
    assert scene.links.is_settled


def test_endpoint_beyond_the_subset_is_met_on_demand() -> None:
    """A caller comes back with an id that is bound to a far endpoint."""
    scene = Scene(count=200)
    names = set(make_fleet(200).endpoints)
    beyond = EndpointId(sorted(names.difference(scene.links.links))[0])
    link = scene.links.open(beyond)
    assert isinstance(scene.node.peer(link.address).posted[0], Heartbeat)
    scene.clock.advance(ON_DEMAND_SECONDS + 1)
    scene.links.beat()
    assert beyond not in scene.links.links
