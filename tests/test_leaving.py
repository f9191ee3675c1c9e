"""An endpoint that leaves gets no new work; a graceful stop cuts nothing."""

import asyncio

import msgspec
import pytest
from sycamore_core.platform import InstanceState
from sycamore_standins.caller import PatientCaller
from sycamore_standins.fleet import Fleet
from sycamore_standins.platform.instances import InstanceChange

from .builders import credit, long_answer, model_ask
from .stories import begin, endpoint_of

#: Promised in the tests: no new work two seconds after an endpoint leaves.
SETTLE_SECONDS = 2.0


async def test_endpoint_stops_gracefully_under_load(fleet: Fleet) -> None:
    """An endpoint is replaced while guests chat.

    Requests in progress end whole, new ones go elsewhere, and the process
    ends by itself with status 0.
    """
    with fleet.caller() as caller:
        patient = PatientCaller(caller, patience_seconds=20)
        running = await begin(caller, long_answer())
        others = [
            asyncio.create_task(patient.ask(long_answer(entry=number % 2)))
            for number in range(9)
        ]
        endpoint = await endpoint_of(fleet, running.answer.request_id)
        ending = asyncio.create_task(fleet.end_gracefully(endpoint))
        later = [
            asyncio.create_task(patient.ask(model_ask(entry=number % 2)))
            for number in range(9)
        ]
        stories = await asyncio.gather(*others, *later)
        first = await running.task
        assert await ending == 0
    assert first.whole, first
    assert all(story.answer.whole for story in stories), stories
    assert not sum(story.resumes for story in stories)


async def test_entry_stops_gracefully_under_load(fleet: Fleet) -> None:
    """An entry is replaced while guests chat through it.

    Its answers end whole. New requests are refused there as not run, and the
    balancer learns by the health check that it is leaving.
    """
    with fleet.caller() as caller:
        patient = PatientCaller(caller, patience_seconds=20)
        running = [await begin(caller, long_answer()) for _ in range(3)]
        fleet.process('entry-0').terminate()
        refused = await refusal_of_leaving(fleet)
        answers = [await one.task for one in running]
        status = await asyncio.to_thread(fleet.process('entry-0').wait, 30)
        elsewhere = await patient.ask(model_ask(entry=1))
    assert status == 0
    assert all(answer.whole for answer in answers), answers
    assert refused in {'shutting_down', ''}
    assert elsewhere.answer.whole


async def refusal_of_leaving(fleet: Fleet) -> str:
    """Return why a stopping entry refuses; empty once it is gone."""
    with fleet.caller() as caller:
        while True:
            answer = await caller.ask(model_ask())
            if answer.problem is not None:
                assert answer.problem.not_run is True
                return answer.problem.reason
            if answer.status == 0:
                return ''


@pytest.mark.parametrize('way', ['list', 'settings', 'signal'])
async def test_no_new_work_after_two_seconds(fleet: Fleet, way: str) -> None:
    """An endpoint is leaving, and the platform's list may lag behind.

    Two seconds later it gets no new request and no new call.
    """
    await leave(fleet, way)
    await asyncio.sleep(SETTLE_SECONDS)
    before = await seen_by(fleet)
    with fleet.caller() as caller:
        patient = PatientCaller(caller, patience_seconds=20)
        stories = await asyncio.gather(
            *(patient.ask(model_ask(entry=number % 2)) for number in range(20)),
            *(
                patient.call(
                    credit(f'{way}-{number}', entry=number % 2),
                    reserved=number % 3 == 0,
                )
                for number in range(10)
            ),
        )
    assert await seen_by(fleet) == before
    assert all(story.answer.whole or story.plain.done for story in stories), (
        stories
    )


async def leave(fleet: Fleet, way: str) -> None:
    """Let one endpoint of each kind leave."""
    leaving = ('model-0', 'plain-0')
    if way == 'signal':
        for name in leaving:
            fleet.process(name).terminate()
        return
    if way == 'list':
        rows = tuple(
            msgspec.structs.replace(row, state=InstanceState.LEAVING)
            if row.instance in leaving
            else row
            for row in fleet.roster.live_instances().rows
        )
        await fleet.hooks('platform').change_instances(InstanceChange(rows))
        return
    tree = fleet.next_tree()
    marked = {
        one: msgspec.structs.replace(tree.endpoints[one], draining=True)
        for one in leaving
    }
    endpoints = {**tree.endpoints, **marked}
    await fleet.publish(msgspec.structs.replace(tree, endpoints=endpoints))


async def seen_by(fleet: Fleet) -> tuple[int, int]:
    """Return how much the two leaving endpoints have run."""
    runs = await fleet.hooks('model-0-engine').runs()
    calls = await fleet.hooks('plain-0-service').calls()
    return len(runs), len(calls)
