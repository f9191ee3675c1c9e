"""A deposit or a truckload runs at most once, and "not run" is true."""

import asyncio

import pytest
from sycamore_standins.caller import (
    Caller,
    PatientCaller,
    PlainAnswer,
    new_key,
)
from sycamore_standins.fleet import Fleet
from sycamore_standins.fleet.counts import read_credits
from sycamore_standins.plain.behaviour import Behaviour

from .builders import ASSISTANT, RECORDS, credit, long_answer, model_ask
from .stories import (
    assert_model_ran_as_told,
    assert_ran_as_told,
    begin,
    endpoint_of,
    engine_of,
    wait_reached,
)

SLOW = Behaviour(delay_seconds=2)


async def slow_services(fleet: Fleet) -> None:
    for service in fleet.roster.plain_services:
        await fleet.hooks(service).behave(SLOW)


async def reserved_id(caller: Caller, service: str = RECORDS) -> str:
    bound = await caller.reserve(service)
    assert bound.request_id, bound
    return bound.request_id


async def resent_until_told(
    caller: Caller,
    request_id: str,
    business_id: str,
    entry: int,
) -> PlainAnswer:
    """Send a call under the same reserved id until its fate is told."""
    while True:
        ask = credit(business_id, entry=entry, time_limit=10)
        answer = await caller.call(ask, request_id)
        if answer.done or answer.status in {409, 410, 502}:
            return answer
        await asyncio.sleep(0.2)


async def test_same_reserved_id_through_both_entries(fleet: Fleet) -> None:
    """A caller sends its deposit again through the other entry.

    It has had no answer yet; both sends name the same reserved id, and the
    family is charged once.
    """
    await slow_services(fleet)
    with fleet.caller() as caller:
        request_id = await reserved_id(caller)
        answers = await asyncio.gather(
            *(
                caller.call(credit('both', entry=entry), request_id)
                for entry in (0, 1, 0, 1)
            ),
        )
    assert any(answer.done for answer in answers), answers
    await assert_ran_as_told(fleet, 'both', answers)


async def test_same_key_through_both_entries(fleet: Fleet) -> None:
    """As before, with the caller's own key in place of a reserved id."""
    await slow_services(fleet)
    key = new_key()
    with fleet.caller() as caller:
        answers = await asyncio.gather(
            *(
                caller.call(credit('key', entry=entry, idempotency_key=key))
                for entry in (0, 1, 0, 1)
            ),
        )
    await assert_ran_as_told(fleet, 'key', answers)


async def test_entry_is_killed_while_a_call_runs(fleet: Fleet) -> None:
    """An entry dies after a deposit has reached the booking application.

    The guest sees a lost connection and sends the deposit again through the
    other entry, which must not charge it a second time.
    """
    await slow_services(fleet)
    with fleet.caller() as caller:
        request_id = await reserved_id(caller)
        first = asyncio.create_task(caller.call(credit('entry'), request_id))
        await wait_reached(fleet, 'entry')
        fleet.process('entry-0').kill()
        lost = await first
        assert not lost.done
        again = await resent_until_told(caller, request_id, 'entry', entry=1)
    assert again.done, again
    await assert_ran_as_told(fleet, 'entry', [lost, again])


async def test_endpoint_is_killed_while_a_call_runs(fleet: Fleet) -> None:
    """The process beside the booking application dies in a deposit.

    It comes back with no memory of it. Whoever sends the deposit again under
    the same id is told that nobody knows whether it ran, never that it did
    not, and it does not run again.
    """
    await slow_services(fleet)
    with fleet.caller() as caller:
        request_id = await reserved_id(caller)
        ask = credit('endpoint', time_limit=6)
        first = asyncio.create_task(caller.call(ask, request_id))
        service = await wait_reached(fleet, 'endpoint')
        endpoint = service.removesuffix('-service')
        fleet.process(endpoint).kill()
        await fleet.restart(endpoint)
        lost = await first
        again = await resent_until_told(caller, request_id, 'endpoint', entry=1)
    assert not again.done, again
    assert again.problem is not None
    assert again.problem.not_run == 'unknown', again
    await assert_ran_as_told(fleet, 'endpoint', [lost, again])


async def test_key_after_a_restart_of_its_endpoint(fleet: Fleet) -> None:
    """As before, with the caller's own key: it is refused or still unknown."""
    await slow_services(fleet)
    key = new_key()
    with fleet.caller() as caller:
        ask = credit('rekey', time_limit=6, idempotency_key=key)
        first = asyncio.create_task(caller.call(ask))
        done, _ = await asyncio.wait([first], timeout=1)
        if not done:
            service = await wait_reached(fleet, 'rekey')
            endpoint = service.removesuffix('-service')
            fleet.process(endpoint).kill()
            await fleet.restart(endpoint)
        again = await caller.call(
            credit('rekey', time_limit=6, idempotency_key=key, entry=1),
        )
        answers = [await first, again]
    await assert_ran_as_told(fleet, 'rekey', answers)


@pytest.mark.parametrize('lost_way', ['offer', 'answer'])
async def test_offer_or_its_answer_is_lost(fleet: Fleet, lost_way: str) -> None:
    """The network between an entry and the endpoints is cut one way.

    Either the offer of a deposit or the answer to it is on its way for long.
    What the guest is told at the end of its time limit must hold also after
    the network heals and the late packets arrive.
    """
    endpoints = list(fleet.roster.endpoints)
    with fleet.caller() as caller:
        request_id = await reserved_id(caller)
        for endpoint in endpoints:
            if lost_way == 'offer':
                fleet.relays.cut(endpoint, 'entry-0')
            else:
                fleet.relays.cut('entry-0', endpoint)
        name = f'lost-{lost_way}'
        first = await caller.call(credit(name, time_limit=3), request_id)
        fleet.relays.heal_all()
        again = await resent_until_told(caller, request_id, name, entry=1)
    await assert_ran_as_told(fleet, name, [first, again])
    # Anything that was late has been handled once a newer call is answered.
    with fleet.caller() as caller:
        for entry in (0, 1):
            later = await caller.call(credit(f'{name}-{entry}', entry=entry))
            assert later.done, later
    await assert_ran_as_told(fleet, name, [first, again])


async def test_frozen_endpoint_wakes_after_the_time_limit(fleet: Fleet) -> None:
    """All endpoint processes are paused when a deposit is offered.

    The guest is told an outcome at the end of its time limit. The processes
    wake up later, find the offer in their sockets, and must not run what the
    guest was told is not run.
    """
    endpoints = list(fleet.roster.endpoints)
    with fleet.caller() as caller:
        patient = PatientCaller(caller, patience_seconds=20)
        request_id = await reserved_id(caller)
        for endpoint in endpoints:
            fleet.process(endpoint).freeze()
        bound = await caller.call(credit('ice', time_limit=2), request_id)
        free = await caller.call(credit('frost', time_limit=2))
        for endpoint in endpoints:
            fleet.process(endpoint).thaw()
        for entry in (0, 1):
            later = await patient.call(credit(f'thaw-{entry}', entry=entry))
            assert later.plain.done, later
    await assert_ran_as_told(fleet, 'ice', [bound])
    await assert_ran_as_told(fleet, 'frost', [free])


async def test_frozen_entry_wakes_after_the_resend(fleet: Fleet) -> None:
    """An entry is paused with a deposit in hand; the guest goes elsewhere."""
    await slow_services(fleet)
    with fleet.caller() as caller:
        request_id = await reserved_id(caller)
        fleet.process('entry-0').freeze()
        first = asyncio.create_task(
            caller.call(credit('paused', time_limit=5), request_id),
        )
        again = await resent_until_told(caller, request_id, 'paused', entry=1)
        fleet.process('entry-0').thaw()
        answers = [await first, again]
    assert again.done, again
    await assert_ran_as_told(fleet, 'paused', answers)


async def test_partition_splits_entries_and_endpoints(fleet: Fleet) -> None:
    """The fleet is in two halves, and both keep working.

    A caller whose entry cannot reach the endpoint of its reserved id goes to
    the other half. The credit runs there at most once, whatever arrives when
    the halves meet again.
    """
    near = ['entry-0', 'plain-0', 'model-0']
    far = ['entry-1', 'plain-1', 'model-1', 'model-2']
    with fleet.caller() as caller:
        ids = [await reserved_id(caller) for _ in range(4)]
        fleet.relays.partition(near, far)
        sent = await asyncio.gather(
            *(
                caller.call(
                    credit(f'half-{number}', time_limit=3, entry=entry),
                    one,
                )
                for number, one in enumerate(ids)
                for entry in (0, 1)
            ),
        )
        fleet.relays.heal_all()
        for number, one in enumerate(ids):
            name = f'half-{number}'
            again = await resent_until_told(caller, one, name, entry=0)
            told = [*sent[2 * number : 2 * number + 2], again]
            await assert_ran_as_told(fleet, name, told)


async def test_engine_dies_in_a_request_that_must_not_run_twice(
    fleet: Fleet,
) -> None:
    """An engine dies in the middle of a reconciliation marked once only.

    No other engine may run it; the caller is told a failure, not silence.
    """
    with fleet.caller() as caller:
        ask = long_answer(idempotent=False, time_limit=8)
        running = await begin(caller, ask)
        engine = await engine_of(fleet, running.answer.request_id)
        fleet.process(engine).kill()
        answer = await running.task
    assert not answer.whole, answer
    told = None if answer.problem is None else answer.problem.not_run
    assert told is not True, answer
    ran_elsewhere = [
        other
        for other in fleet.roster.engines
        if other != engine
        for run in await fleet.hooks(other).runs()
        if run.request_id == answer.request_id
    ]
    assert not ran_elsewhere


async def test_refused_model_request_was_not_run(fleet: Fleet) -> None:
    """More is asked than fits: what is refused as not run was not run."""
    with fleet.caller() as caller:
        answers = await asyncio.gather(
            *(
                caller.ask(
                    model_ask(
                        prompt='x' * 4 * 6000,
                        max_output_tokens=200,
                        idempotent=False,
                        time_limit=4,
                        entry=number % 2,
                    ),
                )
                for number in range(40)
            ),
        )
    await assert_model_ran_as_told(fleet, answers)
    assert any(answer.whole for answer in answers)


async def test_reserved_model_request_runs_once(fleet: Fleet) -> None:
    """A season's reconciliation is sent again while it runs."""
    with fleet.caller() as caller:
        request_id = await reserved_id(caller, ASSISTANT)
        ask = long_answer(idempotent=False)
        first = asyncio.create_task(caller.run_reserved(ask, request_id))
        await asyncio.sleep(0.3)
        again = await caller.run_reserved(
            long_answer(idempotent=False, entry=1),
            request_id,
        )
        answers = [await first, again]
        endpoint = await endpoint_of(fleet, request_id)
        runs = await fleet.hooks(f'{endpoint}-engine').runs()
        times = [run.times for run in runs if run.request_id == request_id]
    assert times == [1]
    assert any(answer.whole for answer in answers), answers


async def test_nothing_was_credited_twice(fleet: Fleet) -> None:
    """After all of the above no credit of the module has run twice."""
    counts = await read_credits(fleet)
    doubled = [name for name, times in counts.items() if times > 1]
    assert not doubled
