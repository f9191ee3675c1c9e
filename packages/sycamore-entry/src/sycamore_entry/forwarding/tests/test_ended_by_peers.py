"""Ends of lifetimes that peers or the platform report, in part wrongly."""

import asyncio

import pytest
from sycamore_core.decisions.direct import RetryBudgetLimit
from sycamore_core.decisions.direct.failures import MAX_REPORTED
from sycamore_core.errors import PlatformError
from sycamore_core.ids import EndpointId, PeerId
from sycamore_core.routing import EndpointLifetime

from ..fleet.feed import (
    ChangeBatch,
    EndpointRemoved,
    Epoch,
    FleetSnapshot,
    Revision,
)
from ..process import ForwardingProcess
from .builders import (
    ENDPOINT,
    LAST_CHUNK,
    MODEL,
    PAUSE_SECONDS,
    SNAPSHOT,
    never_reply,
    running_entry,
)
from .builders_ended import (
    CHAT,
    SAFE,
    StartedEndpoint,
    asked,
    first_asked,
    has_ended,
    pair,
    pause_in_stream,
)
from .builders_engines import ANSWER, HUGE, STREAM, Engine, engines, is_order
from .builders_mesh import QueueFeed, entries, queued_changes_of, running

NEWS_SECONDS = 0.5
PEERS = tuple(PeerId(name) for name in ('entry-7', 'entry-8'))


async def wait_ended(process: ForwardingProcess) -> None:
    async with asyncio.timeout(NEWS_SECONDS):
        while not has_ended(process.context.keeper, ENDPOINT):
            await asyncio.sleep(0.005)


@pytest.mark.parametrize('zones', ['a', 'ab'])
async def test_end_is_reported_to_other_entries(zones: str) -> None:
    """Guards against entries that wait for an end that one of them has seen.

    The entries are in one cell, or in two.
    """
    async with running(entries(2, zones)) as (first, second):
        ended = first.context.keeper.ended
        ended.record_other_instance(ENDPOINT, EndpointId('x9'))
        async with asyncio.timeout(3 if len(zones) > 1 else NEWS_SECONDS):
            while not has_ended(second.context.keeper, ENDPOINT):
                await asyncio.sleep(0.005)


async def test_report_on_an_endpoint_that_sends_events_is_ignored() -> None:
    """Guards against one broken path that ends the attempts of all entries."""
    async with running(entries(2)) as (first, second):
        heard = second.context.keeper.ended
        lost = first.context.keeper.ended
        heard.record_heard(ENDPOINT.lifetime)
        lost.record_lost_connection(ENDPOINT.lifetime)
        for _ in range(20):
            heard.record_heard(ENDPOINT.lifetime)
            await asyncio.sleep(0.02)
        assert not has_ended(second.context.keeper, ENDPOINT)


async def test_end_that_a_peer_reports_ends_waiting_calls() -> None:
    """Guards against a call that outlasts the end that a peer has seen."""
    fleet = pair()
    async with running_entry(SAFE, *fleet) as entry, asked(entry) as answer:
        first = await first_asked(fleet)
        ended = entry.context.keeper.ended
        record = entry.context.keeper.directory.find(EndpointId(first.name))
        ended.apply_peer_report((record.lifetime,), PEERS[0])
        text = await asyncio.wait_for(answer, 0.3)
    assert text.startswith(b'HTTP/1.1 200')


async def test_stream_that_cannot_be_resumed_outlasts_a_doubtful_end() -> None:
    """Guards against cutting a stream whose endpoint is only removed early."""
    fleet = [StartedEndpoint(name, pause_in_stream) for name in ('e1', 'e2')]
    async with running_entry(CHAT, *fleet) as entry:
        budget = entry.context.retry_budget(MODEL)
        budget.bounds = RetryBudgetLimit(ratio=0, slack=0)
        async with asked(entry, Prompt='4000') as answer:
            first = await first_asked(fleet)
            await asyncio.sleep(PAUSE_SECONDS)
            ended = entry.context.keeper.ended
            record = entry.context.keeper.directory.find(EndpointId(first.name))
            ended.removed._heard_at.clear()
            ended.apply_peer_report((record.lifetime,), PEERS[0])
            text = await answer
    assert text.endswith(LAST_CHUNK)
    assert sum(len(one.requests) for one in fleet) == 1


async def test_lost_paths_to_many_endpoints_are_not_reported() -> None:
    """Guards against a partitioned entry that ends the work of all others."""
    async with running(entries(2)) as (first, second):
        ended = first.context.keeper.ended
        for number in range(MAX_REPORTED + 1):
            lost = EndpointLifetime(EndpointId(f'e{number}'), 5)
            ended.record_lost_connection(lost)
        await asyncio.sleep(1.5)
        assert not len(second.context.keeper.ended.ended)


class OutageFeed(QueueFeed):
    """A platform that fails twice after its first answer."""

    def __init__(self, later: FleetSnapshot) -> None:
        super().__init__(SNAPSHOT)
        self.later = later
        self.failures = 0

    async def changes(
        self, after: Revision, wait_seconds: float
    ) -> ChangeBatch:
        if self.failures < 2:
            self.failures += 1
            self.fixed = self.later
            raise PlatformError('platform is away')
        return await super().changes(after, wait_seconds)


async def test_endpoint_missing_after_an_outage_has_not_ended() -> None:
    """Guards against ends of endpoints that could not renew registrations."""
    process = entries(1)[0]
    keeper = process.context.keeper
    keeper.feed = OutageFeed(FleetSnapshot(Revision(2), None, ()))
    for _ in range(4):
        await keeper.read_once()
    assert ENDPOINT.endpoint in keeper.directory.missing_since
    await lapse(process)
    assert not len(keeper.ended.ended)


async def test_removal_soon_after_an_outage_is_no_end() -> None:
    """Guards against ends as registrations lapse right after an outage."""
    process = entries(1)[0]
    keeper = process.context.keeper
    keeper.feed = OutageFeed(SNAPSHOT)
    for _ in range(4):
        await keeper.read_once()
    keeper.feed.queued_changes.put_nowait(EndpointRemoved(ENDPOINT.endpoint))
    await keeper.read_once()
    assert not keeper.directory.records
    await lapse(process)
    assert not len(keeper.ended.ended)


async def test_restored_store_that_lists_fewer_endpoints_ends_none() -> None:
    """Guards against ends of endpoints that an older copy does not list."""
    process = entries(1)[0]
    keeper = process.context.keeper
    feed = QueueFeed(SNAPSHOT)
    keeper.feed = feed
    await keeper.read_once()
    keeper.restoration.record_epoch(Epoch('first'))
    feed.fixed = FleetSnapshot(Revision(1), None, (), Epoch('second'))
    keeper._revision = Revision(0)
    await keeper.read_once()
    feed.queued_changes.put_nowait(EndpointRemoved(ENDPOINT.endpoint))
    await keeper.read_once()
    await lapse(process)
    assert not len(keeper.ended.ended)


async def lapse(process: ForwardingProcess) -> None:
    """Let all times of silence elapse."""
    keeper = process.context.keeper
    for times in (
        keeper.directory.missing_since,
        keeper.ended.removed._removed_at,
    ):
        for key in times:
            times[key] -= 60
    keeper.drop_expired()


async def test_removal_by_a_watch_is_an_end() -> None:
    """Guards against the rules above that let no removal count."""
    async with running(entries(2)) as (first, second):
        ended = first.context.keeper.ended
        ended.record_heard(ENDPOINT.lifetime)
        queued_changes_of(first).put_nowait(EndpointRemoved(ENDPOINT.endpoint))
        await asyncio.sleep(0.05)
        await lapse(first)
        assert not has_ended(first.context.keeper, ENDPOINT)
        ended.removed._heard_at.clear()
        await lapse(first)
        await wait_ended(first)
        await wait_ended(second)


async def prompt_moves(reporters: int, *, helper: bool) -> bool:
    """Return whether a long prompt moves after peers report an endpoint."""
    fleet = engines(never_reply)
    async with running_entry(STREAM, *fleet) as entry:
        async with asked(entry, Prompt=HUGE):
            primary = await prompt_taken(fleet)
            for engine in fleet:
                engine.answer = ANSWER
            over = primary
            if helper:
                over = next(one for one in fleet if one.orders)
            reports = entry.context.keeper.ended.peer_failures
            now = entry.context.clock.monotonic()
            for peer in PEERS[:reporters]:
                reports.record(peer, [EndpointId(over.name)], now)
            sent = prompts(fleet)
            await asyncio.sleep(0.6)
            return prompts(fleet) > sent


def prompts(fleet: list[Engine]) -> int:
    return sum(
        not is_order(request) for one in fleet for request in one.requests
    )


async def prompt_taken(fleet: list[Engine]) -> Engine:
    async with asyncio.timeout(5):
        while not prompts(fleet):
            await asyncio.sleep(0.005)
    return next(one for one in fleet if prompts([one]))


@pytest.mark.parametrize('helper', [True, False])
async def test_long_prompt_moves_once_two_peers_report_its_endpoint(
    helper: bool,
) -> None:
    """Guards against a prompt that waits 0.45 of its limit without hope."""
    assert await prompt_moves(2, helper=helper)


async def test_long_prompt_stays_if_one_peer_reports_its_endpoint() -> None:
    """Guards against prompts read twice because one entry lost a path."""
    assert not await prompt_moves(1, helper=False)
