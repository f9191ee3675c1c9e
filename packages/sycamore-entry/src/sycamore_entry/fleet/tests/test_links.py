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

from .. import EndpointLinks, LinkListener
from ..links import (
    MAX_HEARTBEATS_PER_SECOND,
    MIN_HEARTBEAT_INTERVAL_SECONDS,
    ON_DEMAND_LINK_SECONDS,
    SILENCE_INTERVALS,
)

MODEL = EndpointId('model-1')
SILENT_SECONDS = SILENCE_INTERVALS * MIN_HEARTBEAT_INTERVAL_SECONDS
CLAIM = SettingsClaim(TreeRank(SettingsVersion(1), 0))


class RecordingPeer:
    def __init__(self) -> None:
        self.posted: list[Message] = []

    def post(self, message: Message, *, urgent: bool = True) -> bool:
        self.posted.append(message)
        return True


class StubNode:
    """The part of a node that the links use."""

    def __init__(self) -> None:
        self.peers: dict[str, RecordingPeer] = {}
        self.forgotten: list[str] = []

    def peer(self, address: str) -> RecordingPeer:
        return self.peers.setdefault(address, RecordingPeer())

    def remove_peer(self, address: str) -> None:
        self.forgotten.append(address)


class RecordingListener(LinkListener):
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


class LinksFixture:
    """Links of one entry with a manual clock and recorded events."""

    def __init__(self, count: int = 1) -> None:
        self.clock = ManualClock(start=100)
        self.events = RecordingListener()
        self.node = StubNode()
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
        self.links.apply_report(
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


def test_silent_endpoint_is_lost_until_it_reports_again() -> None:
    """An endpoint process is suspended for some seconds and resumes.

    Requests go to other endpoints in the meantime.
    """
    fixture = LinksFixture()
    fixture.report()
    fixture.clock.advance(SILENT_SECONDS + 1)
    fixture.links.send_heartbeats()
    assert fixture.events.lost == [(MODEL, False)]
    assert fixture.links.find(MODEL) is None
    fixture.report()
    assert fixture.links.find(MODEL) is not None


def test_restart_is_detected_at_the_first_report() -> None:
    """An endpoint process is killed and started again within a second.

    Callers with answers from that process must be informed immediately, not
    only at their time limit.
    """
    fixture = LinksFixture()
    fixture.report(incarnation=1)
    fixture.report(incarnation=2)
    assert fixture.events.lost == [(MODEL, True)]


def test_report_of_a_replaced_process_is_ignored() -> None:
    fixture = LinksFixture()
    fixture.report(incarnation=2)
    fixture.report(incarnation=1)
    assert fixture.links.find(MODEL).incarnation == 2
    assert len(fixture.events.views) == 1


def test_replacement_with_an_older_clock_is_finally_accepted() -> None:
    """The wall clock of the new instance is half a minute behind.

    The new process appears to have started before the process that it
    replaces, but must not be ignored permanently.
    """
    fixture = LinksFixture()
    fixture.report(incarnation=2)
    fixture.clock.advance(SILENT_SECONDS + 1)
    fixture.links.send_heartbeats()
    fixture.report(incarnation=1)
    assert fixture.links.find(MODEL).incarnation == 1


def test_endpoint_removed_from_the_settings_finishes_its_runs() -> None:
    """An operator removes an endpoint while it streams an answer.

    The endpoint gets no new requests, but the answer in progress must not be
    cut off.
    """
    fixture = LinksFixture()
    fixture.report()
    fixture.events.busy.add(MODEL)
    fixture.update(make_fleet(0))
    fixture.links.send_heartbeats()
    assert fixture.events.retired == [MODEL]
    assert fixture.links.find(MODEL) is None
    assert not fixture.node.forgotten
    fixture.events.busy.clear()
    fixture.links.send_heartbeats()
    assert fixture.node.forgotten == ['tcp://127.0.0.1:1']


def test_link_uses_the_new_address_of_a_moved_endpoint() -> None:
    fixture = LinksFixture()
    fixture.report()
    fleet = make_fleet(1)
    moved = msgspec.structs.replace(
        fleet.endpoints[MODEL],
        address='tcp://127.0.0.1:99',
    )
    fixture.update(msgspec.structs.replace(fleet, endpoints={MODEL: moved}))
    assert fixture.links.find(MODEL) is None
    fixture.report(incarnation=2)
    assert fixture.links.find(MODEL).address == 'tcp://127.0.0.1:99'


def test_heartbeats_go_to_a_subset_only() -> None:
    """An entry links to a few of the hundreds of endpoints of a fleet."""
    fixture = LinksFixture(count=200)
    fixture.links.send_heartbeats()
    assert len(fixture.node.peers) < 20


def test_heartbeat_rate_is_bounded_for_any_number_of_links() -> None:
    """Many services require many links; heartbeats must not load the node."""
    fixture = LinksFixture(count=200)
    for name in make_fleet(200).endpoints:
        fixture.links.open(name)
    rate = len(fixture.links.links) / fixture.links.heartbeat_interval
    assert len(fixture.links.links) == 200
    assert rate <= MAX_HEARTBEATS_PER_SECOND


def test_entry_is_ready_once_its_endpoints_have_reported() -> None:
    """An entry has just started and has settings, but no reports yet.

    The load balancer must not send requests that the entry would refuse.
    """
    fixture = LinksFixture()
    assert not fixture.links.is_discovery_complete
    fixture.report()
    assert fixture.links.is_discovery_complete


def test_entry_does_not_wait_indefinitely_for_a_dead_endpoint() -> None:
    fixture = LinksFixture()
    fixture.clock.advance(SILENT_SECONDS + 1)
    assert fixture.links.is_discovery_complete


def test_link_beyond_the_subset_is_opened_on_demand() -> None:
    """A caller uses an id that is bound to an endpoint beyond the subset."""
    fixture = LinksFixture(count=200)
    names = set(make_fleet(200).endpoints)
    beyond = EndpointId(sorted(names.difference(fixture.links.links))[0])
    link = fixture.links.open(beyond)
    assert isinstance(fixture.node.peer(link.address).posted[0], Heartbeat)
    fixture.clock.advance(ON_DEMAND_LINK_SECONDS + 1)
    fixture.links.send_heartbeats()
    assert beyond not in fixture.links.links
