"""Requests that wait in the queue of a ranked service."""

import asyncio
import time

import msgspec
import pytest
from sycamore_core.decisions.waiting import (
    STEP_SECONDS,
    YIELD_SECONDS,
    WaitingQueue,
    WaitingRequest,
)
from sycamore_core.ids import EndpointId, RequestId, WorkspaceId, ZoneId
from sycamore_core.routing import EvacuationReport, Rank, RouteKind

from ..callers.refusals import Refusal, RefusalCause
from ..placement.slot_wait import PolledSlotWait
from .builders import MODEL, route, table_of
from .builders_queue import (
    LONG,
    NORMAL,
    PEER,
    SERVICE_RECORD,
    URGENT,
    QueueEntry,
    engine,
    settle,
)

#: Bound of a decision with 200 waiting requests, in seconds.
MAX_DECISION_SECONDS = 50e-6


async def full_entry(*engines: str) -> QueueEntry:
    """Return an entry whose engines all run a request of its own."""
    entry = QueueEntry(*engines)
    for name in engines:
        await entry.send(f'running-{name}')
    return entry


async def test_unranked_service_is_polled_as_before() -> None:
    """Guards against a changed behaviour of other deployments."""
    entry = QueueEntry('e1')
    table = table_of(route(RouteKind.RESUMABLE_STREAM, MODEL))
    entry.keeper.in_force.table = table
    assert isinstance(entry.waits.for_service(SERVICE_RECORD), PolledSlotWait)


async def test_free_slot_is_used_without_the_queue() -> None:
    """Guards against a delay of requests while slots are free."""
    entry = QueueEntry('e1', 'e2')
    await entry.send('first')
    await entry.send('second')
    assert not entry.log.named('request_queued')


async def test_ended_attempt_places_the_most_urgent_request() -> None:
    """Guards against giving a slot to the request that asks first."""
    entry = await full_entry('e1')
    waiting = [
        await entry.queue('long', LONG),
        await entry.queue('medium', NORMAL),
        await entry.queue('short', URGENT),
    ]
    for running in ('running-e1', 'short', 'medium'):
        entry.end(running)
        await settle()
    assert entry.order[1:] == ['short', 'medium', 'long']
    await asyncio.gather(*waiting)
    assert entry.dequeued == {'placed': 3}


async def test_one_slot_is_given_to_one_request() -> None:
    """Guards against placing two requests before the first one is counted."""
    entry = await full_entry('e1')
    await entry.queue('first')
    await entry.queue('second')
    entry.end('running-e1')
    await settle()
    assert entry.order == ['running-e1', 'first']


async def test_two_free_slots_are_both_used() -> None:
    """Guards against leaving a slot idle until the next event."""
    entry = await full_entry('e1', 'e2')
    await entry.queue('first')
    await entry.queue('second')
    entry.end('running-e1')
    entry.end('running-e2')
    await settle()
    assert entry.order[2:] == ['first', 'second']


async def test_new_request_does_not_overtake_waiting_ones() -> None:
    """Guards against requests that win by arriving at the right moment."""
    entry = await full_entry('e1')
    await entry.queue('waiting')
    entry.end('running-e1')
    new = entry.send('new')
    await settle()
    assert entry.order[1:] == ['waiting']
    assert not new.done()
    entry.end('waiting')
    await new


async def test_peer_report_of_a_free_slot_places_a_request() -> None:
    """Guards against waiting for an end at this entry only."""
    entry = QueueEntry('e1')
    entry.hear_load('e1', 1)
    await entry.queue('waiting')
    entry.hear_load('e1', 0)
    await settle()
    assert entry.order == ['waiting']


async def test_lost_peer_frees_its_slots() -> None:
    """Guards against waiting for requests of an entry that has died."""
    entry = QueueEntry('e1')
    entry.hear_load('e1', 1)
    await entry.queue('waiting')
    entry.dispatcher.loads.remove_peer(PEER)
    await settle()
    assert entry.order == ['waiting']


async def test_new_endpoint_places_a_request() -> None:
    """Guards against an engine that stays idle after it has started."""
    entry = await full_entry('e1')
    await entry.queue('waiting')
    entry.directory.put(engine('e2'))
    await settle()
    assert entry.order[1:] == ['waiting']


async def test_end_of_a_backoff_places_a_request() -> None:
    """Guards against an engine that stays idle after its backoff."""
    entry = await full_entry('e1', 'e2')
    await entry.queue('waiting')
    entry.dispatcher.backoffs.record_request(
        engine('e2').lifetime, 0.15, entry.now
    )
    entry.end('running-e2')
    await settle()
    assert len(entry.order) == 2
    await settle(0.3)
    assert entry.order[2:] == ['waiting']


async def test_load_of_a_silent_peer_expires_while_a_request_waits() -> None:
    """Guards against a slot that stays idle since no event frees it."""
    entry = QueueEntry('e1')
    entry.hear_load('e1', 6)
    await entry.queue('waiting')
    loads = entry.dispatcher.loads
    loads.peers[PEER].reported_at -= 60
    await settle(0.4)
    assert entry.order == ['waiting']


async def test_end_of_a_backoff_counts_beside_other_events() -> None:
    """Guards against an event at that moment that cancels the timer."""
    entry = await full_entry('e1', 'e2')
    await entry.queue('waiting')
    entry.dispatcher.backoffs.record_request(
        engine('e2').lifetime, 0.1, entry.now
    )
    entry.end('running-e2')
    time.sleep(0.11)
    entry.hear_load('e1', 1)
    entry.hear_load('e1', 0)
    await settle(0.05)
    assert entry.order[2:] == ['waiting']


async def test_restored_zone_places_a_request_at_once() -> None:
    """Guards against a zone that stays unused since no event tells of it."""
    entry = QueueEntry('e1')
    evacuation = entry.keeper.evacuation
    reports = [
        EvacuationReport(engine('e1').zone, 1, revision, is_evacuated)
        for revision, is_evacuated in ((5, True), (6, False))
    ]
    evacuation.apply_reports(reports[:1], PEER, tell_peers=False)
    await entry.queue('waiting')
    evacuation.apply_reports(reports[1:], PEER, tell_peers=False)
    await settle()
    assert entry.order == ['waiting']


async def test_defect_of_one_request_does_not_block_the_others() -> None:
    """Guards against a queue that stops after an exception."""
    entry = await full_entry('e1')
    broken = await entry.queue('broken')
    await entry.queue('sound')
    first = next(iter(entry.wait.queue))
    waiter = entry.wait.tasks._waiters[first]
    waiter.request = msgspec.structs.replace(waiter.request, place=fail)
    entry.end('running-e1')
    await settle()
    assert entry.order[1:] == ['sound']
    with pytest.raises(ValueError, match='defect'):
        await broken


def fail() -> None:
    raise ValueError('defect')


async def test_request_of_other_zones_is_not_passed_over() -> None:
    """Guards against a failed request of one region that stops all others."""
    restricted = WaitingRequest(
        request_id=RequestId('r1'),
        rank=Rank(0, 0),
        workspace=None,
        queued_at=1,
        zones=frozenset((ZoneId('b'),)),
    )
    free = msgspec.structs.replace(restricted, zones=None)
    assert free.may_fit([restricted])
    assert not restricted.may_fit([free])


async def test_requests_are_refused_if_the_last_endpoint_leaves() -> None:
    """Guards against holding requests that no endpoint can serve."""
    entry = await full_entry('e1')
    waiting = [await entry.queue('first'), await entry.queue('second')]
    entry.directory.remove(EndpointId('e1'))
    found = await asyncio.gather(*waiting, return_exceptions=True)
    causes = {one.cause for one in found if isinstance(one, Refusal)}
    assert causes == {RefusalCause.NO_ENDPOINT}


async def test_request_is_refused_at_its_latest_start() -> None:
    """Guards against holding a request until its time limit expires."""
    entry = await full_entry('e1')
    began = entry.now
    with pytest.raises(Refusal) as refused:
        await entry.send('hopeless', seconds=1.2)
    assert refused.value.cause == RefusalCause.OVERLOADED
    assert entry.now - began < 1
    assert entry.dequeued == {'too_late': 1}


async def test_request_without_time_is_refused_on_arrival() -> None:
    """Guards against queueing a request that cannot be served in time."""
    entry = await full_entry('e1')
    with pytest.raises(Refusal):
        await entry.send('hopeless', seconds=0.3)
    assert not entry.log.named('request_queued')


async def test_forecast_refuses_the_least_urgent_first() -> None:
    """Guards against refusing urgent requests while others keep waiting."""
    entry = await full_entry('e1', 'e2')
    urgent = await entry.queue('short', URGENT)
    long = await entry.queue('long', LONG)
    entry.waits.policy.can_be_served = lambda call: call.rank.route < LONG
    entry.hear_load('e1', 1)
    entry.hear_load('e1', 0)
    await settle()
    with pytest.raises(Refusal):
        await long
    assert not urgent.done()


async def test_cancelled_request_leaves_the_queue_at_once() -> None:
    """Guards against giving a slot to a caller that has left."""
    entry = await full_entry('e1')
    gone = await entry.queue('gone')
    await entry.queue('stays')
    gone.cancel()
    entry.end('running-e1')
    await settle()
    assert entry.order[1:] == ['stays']
    assert entry.dequeued == {'caller_left': 1, 'placed': 1}


async def test_caller_that_leaves_during_the_handover_frees_the_slot() -> None:
    """Guards against a slot that is reserved for a caller that has left."""
    entry = await full_entry('e1')
    gone = await entry.queue('gone')
    await entry.queue('stays')
    wait = entry.wait
    resolve = wait.tasks.resolve

    def resolve_and_leave(waiting, placement) -> None:
        resolve(waiting, placement)
        gone.cancel()

    wait.tasks.resolve = resolve_and_leave
    entry.end('running-e1')
    await settle()
    assert entry.order[1:] == ['stays']


async def test_retry_does_not_block_requests_behind_it() -> None:
    """Guards against a free engine that the first request must not use."""
    entry = await full_entry('e1', 'e2')
    await entry.queue('retry', excluded=frozenset((EndpointId('e1'),)))
    await entry.queue('new')
    entry.end('running-e1')
    await settle()
    assert entry.order[2:] == ['new']


async def test_prompt_without_memory_does_not_block_short_requests() -> None:
    """Guards against a prompt at the head that fits on no engine."""
    entry = await full_entry('e1')
    await entry.queue('huge', URGENT, prompt=900_000, seconds=200)
    await entry.queue('short', LONG)
    entry.end('running-e1')
    await settle()
    assert entry.order[1:] == ['short']


async def test_prompt_without_memory_is_not_tried_at_each_event() -> None:
    """Guards against an entry that is busy with placements in vain."""
    entry = QueueEntry('e1', 'e2')
    place = entry._place

    def place_slowly(call, excluded):
        time.sleep(0.01)
        return place(call, excluded)

    entry._place = place_slowly
    await entry.queue('huge', prompt=900_000, seconds=200)
    entry.tries = 0
    for requests in (1, 0) * 10:
        entry.hear_load('e1', requests)
        await settle()
    assert entry.tries <= 1


async def test_nothing_is_tried_without_a_free_slot() -> None:
    """Guards against placements of up to 15 ms that cannot succeed."""
    entry = await full_entry('e1', 'e2')
    await entry.queue('waiting')
    entry.tries = 0
    entry.hear_load('e1', 2)
    entry.hear_load('e1', 1)
    await settle()
    assert not entry.tries


async def test_queue_does_nothing_while_nothing_changes() -> None:
    """Guards against a timer that is due all the time, which is polling."""
    entry = await full_entry('e1', 'e2')
    await entry.queue('huge', prompt=900_000, seconds=200)
    await entry.queue('short', LONG)
    entry.hear_waiting(Rank(0, URGENT))
    entry.end('running-e1')
    await settle(YIELD_SECONDS * 2)
    entry.hear_load('e1', 1)
    searches = []
    search_all = entry.wait.slots.search_all
    entry.wait.slots.search_all = lambda: searches.append(search_all())
    await settle(0.3)
    assert len(searches) <= 4


async def test_full_queue_refuses_the_least_urgent() -> None:
    """Guards against refusing an urgent request while others keep a place."""
    entry = await full_entry('e1')
    entry.wait.queue.capacity = 1
    long = await entry.queue('long', LONG)
    urgent = entry.send('short', URGENT)
    with pytest.raises(Refusal):
        await long
    with pytest.raises(Refusal):
        await entry.send('equal', URGENT)
    entry.end('running-e1')
    await urgent
    assert entry.dequeued == {'displaced': 1, 'placed': 1}


async def test_removed_workspace_keeps_its_place() -> None:
    """Guards against a 401 for a request that was admitted before."""
    entry = await full_entry('e1')
    waiting = await entry.queue('waiting')
    entry.keeper.table.workspaces.clear()
    entry.end('running-e1')
    await waiting


async def test_slot_is_left_to_a_peer_for_a_short_time_only() -> None:
    """Guards against an idle slot if the peer is dead or frozen."""
    entry = await full_entry('e1')
    waiting = await entry.queue('waiting')
    entry.hear_waiting(Rank(0, URGENT))
    entry.end('running-e1')
    await settle(STEP_SECONDS / 3)
    assert not waiting.done()
    await asyncio.wait_for(waiting, 1)
    assert len(entry.log.named('slot_left_to_peer')) == 1


async def test_dead_peer_delays_one_slot_only() -> None:
    """Guards against a peer that was lost and delays each slot."""
    entry = await full_entry('e1')
    first = await entry.queue('first')
    entry.hear_waiting(Rank(0, URGENT))
    entry.end('running-e1')
    await first
    await entry.queue('second')
    entry.end('first')
    await settle()
    assert entry.order[1:] == ['first', 'second']


async def test_slot_is_not_left_to_less_urgent_peers() -> None:
    """Guards against yielding to requests that come later."""
    entry = await full_entry('e1')
    await entry.queue('waiting', URGENT)
    entry.hear_waiting(Rank(0, NORMAL))
    entry.end('running-e1')
    await settle()
    assert entry.order[1:] == ['waiting']


async def test_new_request_leaves_the_slot_to_a_peer_that_waits() -> None:
    """Guards against overtaking the waiting requests of other entries."""
    entry = QueueEntry('e1')
    entry.hear_waiting(Rank(0, URGENT))
    new = await entry.queue('new')
    entry.hear_load('e1', 1)
    await settle(YIELD_SECONDS)
    assert not new.done()
    entry.hear_load('e1', 0)
    await asyncio.wait_for(new, 1)


async def test_enough_free_slots_are_used_at_once() -> None:
    """Guards against waiting for peers while there are slots for all."""
    entry = QueueEntry('e1', 'e2', 'e3')
    entry.hear_waiting(Rank(0, URGENT), count=2)
    new = entry.send('new')
    await settle()
    assert new.done()


async def test_own_end_is_reported_at_once_while_peers_wait() -> None:
    """Guards against a peer that learns too late of the slot it may take."""
    entry = await full_entry('e1')
    entry.dispatcher.has_unsent_load.clear()
    entry.wait.handle_change(EndpointId('e1'))
    entry.dispatcher.loads.pop_changed()
    entry.hear_waiting(Rank(0, URGENT))
    assert not entry.dispatcher.has_unsent_load.is_set()
    entry.end('running-e1')
    assert entry.dispatcher.has_unsent_load.is_set()


async def test_first_waiting_request_of_a_rank_is_reported_at_once() -> None:
    """Guards against peers that do not know what waits here."""
    entry = await full_entry('e1')
    entry.dispatcher.has_unsent_load.clear()
    await entry.queue('first')
    assert entry.dispatcher.has_unsent_load.is_set()
    entry.dispatcher.has_unsent_load.clear()
    await entry.queue('second')
    assert not entry.dispatcher.has_unsent_load.is_set()


async def test_shutdown_refuses_what_still_waits() -> None:
    """Guards against callers in doubt whether their requests have run."""
    entry = await full_entry('e1')
    waiting = [await entry.queue('first'), await entry.queue('second')]
    assert entry.waits.refuse_waiting() == 2
    found = await asyncio.gather(*waiting, return_exceptions=True)
    assert all(isinstance(one, Refusal) for one in found)
    assert entry.dequeued == {'stopping': 2}


async def test_log_and_metrics_tell_what_waits() -> None:
    entry = await full_entry('e1')
    await entry.queue('first', LONG)
    await entry.queue('second', URGENT)
    assert entry.metrics.count_waiting() == 2
    queued = entry.log.named('request_queued')
    assert [one['position'] for one in queued] == [0, 0]
    assert queued[1]['waiting'] == {'0.2': 1, '0.0': 1}
    assert b'sycamore_requests_waiting' in entry.metrics.render()


@pytest.mark.parametrize('fits', [True, False])
def test_decision_with_200_waiting_takes_under_50_us(fits: bool) -> None:
    """Guards against a queue that delays requests by its own decisions."""
    queue = WaitingQueue()
    for number in range(199):
        queue.add(waiting_request(f'r{number}', number % 3))
    failed = [] if fits else [waiting_request('failed', URGENT)]
    fastest = min(decide(queue, failed, place) for place in range(300))
    assert fastest < MAX_DECISION_SECONDS


def waiting_request(name: str, route_rank: int) -> WaitingRequest:
    return WaitingRequest(
        request_id=RequestId(name),
        rank=Rank(0, route_rank),
        workspace=WorkspaceId(name),
        queued_at=0,
    )


def decide(
    queue: WaitingQueue,
    failed: list[WaitingRequest],
    number: int,
) -> float:
    """Time the arrival, choice and departure of a request, in seconds."""
    request = waiting_request(f'new-{number}', NORMAL)
    began = time.perf_counter()
    queue.add(request)
    queue.next_to_place(failed, now=0)
    queue.record_placed(request, now=0)
    return time.perf_counter() - began
