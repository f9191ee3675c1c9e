"""A caller receives the whole answer to its own request, or is told a failure.

Each stream is held against its numbers, its count, its checksum and the text
that follows from the request id; see `sycamore_standins.caller`.
"""

import asyncio

import pytest
from sycamore_standins.caller import Answer, PatientCaller
from sycamore_standins.engine.hook_bodies import EngineFaults
from sycamore_standins.fleet import Fleet

from .builders import long_answer, model_ask
from .stories import (
    begin,
    endpoint_of,
    engine_of,
    resume_until_closed,
)


def told_failure(answer: Answer) -> bool:
    """Return whether a caller was told that it will get no whole answer."""
    if answer.problem is not None:
        return True
    return answer.closing is not None and answer.closing.outcome != 'complete'


async def holder(fleet: Fleet) -> str:
    """Return an engine that holds a request, or an empty name."""
    for engine in fleet.roster.engines:
        if (await fleet.hooks(engine).memory()).requests:
            return engine
    return ''


async def test_many_callers_get_their_own(fleet: Fleet) -> None:
    with fleet.caller() as caller:
        answers = await asyncio.gather(
            *(
                caller.ask(
                    model_ask(
                        prompt=f'guest {number}',
                        max_output_tokens=number,
                        entry=number % 2,
                    ),
                )
                for number in range(1, 81)
            ),
        )
    broken = [answer for answer in answers if not answer.whole]
    assert not broken
    lengths = [answer.tokens for answer in answers]
    assert lengths == list(range(1, 81))


async def test_engine_connection_breaks(fleet: Fleet) -> None:
    """The connection from an endpoint process to its engine breaks.

    The process resumes the stream where it broke; the guest notices nothing.
    """
    for engine in fleet.roster.engines:
        await fleet.hooks(engine).misbehave(EngineFaults(breaks=2))
    with fleet.caller() as caller:
        answers = await asyncio.gather(
            *(caller.ask(long_answer(entry=number % 2)) for number in range(6)),
        )
    assert all(answer.whole for answer in answers), answers


async def test_engine_is_killed_before_the_first_token(fleet: Fleet) -> None:
    """An engine dies with prompts that have given no token yet.

    Guests wait a little longer: another engine answers.
    """
    for engine in fleet.roster.engines:
        await fleet.hooks(engine).misbehave(EngineFaults(stalled=True))
    with fleet.caller() as caller:
        tasks = [
            asyncio.create_task(caller.ask(model_ask(entry=number % 2)))
            for number in range(6)
        ]
        victim = ''
        while not victim:
            victim = await holder(fleet)
        fleet.process(victim).kill()
        for engine in fleet.roster.engines:
            if engine != victim:
                await fleet.hooks(engine).misbehave(EngineFaults())
        answers = await asyncio.gather(*tasks)
    assert all(answer.whole for answer in answers), answers


async def test_engine_is_killed_in_the_middle(fleet: Fleet) -> None:
    """An engine dies in the middle of an answer.

    The guest has the answer from another engine, whole, or is told that it
    failed; it never has half of one that looks whole.
    """
    with fleet.caller() as caller:
        running = await begin(caller, long_answer(time_limit=15))
        engine = await engine_of(fleet, running.answer.request_id)
        fleet.process(engine).kill()
        answer = await running.task
    assert answer.whole or told_failure(answer), answer


async def test_endpoint_is_killed_in_the_middle(fleet: Fleet) -> None:
    """The process beside an engine dies in the middle of an answer."""
    with fleet.caller() as caller:
        running = await begin(caller, long_answer(time_limit=15))
        endpoint = await endpoint_of(fleet, running.answer.request_id)
        fleet.process(endpoint).kill()
        answer = await running.task
    assert answer.whole or told_failure(answer), answer


async def test_entry_is_killed_in_the_middle(fleet: Fleet) -> None:
    """An entry dies in the middle of an answer.

    The guest sees a stream without its end, comes back through the other
    entry with the id that it was sent first of all, and has the rest.
    """
    with fleet.caller() as caller:
        running = await begin(caller, long_answer())
        fleet.process('entry-0').kill()
        cut = await running.task
        assert cut.closing is None, cut
        assert cut.request_id
        answer = await resume_until_closed(caller, cut, entry=1)
    assert answer.whole, answer


async def test_entry_is_killed_again_after_the_resume(fleet: Fleet) -> None:
    """Both entries die, one after the other, under the same answer."""
    ask = model_ask(max_output_tokens=400)
    with fleet.caller() as caller:
        running = await begin(caller, ask)
        fleet.process('entry-0').kill()
        cut = await running.task
        await fleet.restart('entry-0')
        second = asyncio.create_task(caller.resume(cut, entry=1))
        await asyncio.sleep(0.5)
        fleet.process('entry-1').kill()
        answer = await resume_until_closed(caller, await second, entry=0)
    assert answer.whole, answer


@pytest.mark.parametrize('frozen', ['entry', 'endpoint', 'engine'])
async def test_pause_in_the_middle(fleet: Fleet, frozen: str) -> None:
    """A machine is paused for a moment in the middle of an answer.

    It goes on where it stood; the guest has the whole answer, or is told.
    """
    with fleet.caller() as caller:
        running = await begin(caller, long_answer(time_limit=20))
        request_id = running.answer.request_id
        names = {
            'entry': 'entry-0',
            'endpoint': await endpoint_of(fleet, request_id),
            'engine': await engine_of(fleet, request_id),
        }
        process = fleet.process(names[frozen])
        process.freeze()
        await asyncio.sleep(1)
        process.thaw()
        answer = await running.task
    assert answer.whole, answer


@pytest.mark.parametrize('harm', ['cut', 'reset'])
async def test_network_fails_in_the_middle(fleet: Fleet, harm: str) -> None:
    """Packets of an answer are held up, or lost with their connection.

    Gaps are asked for again, and what comes twice is dropped.
    """
    endpoints = list(fleet.roster.endpoints)
    with fleet.caller() as caller:
        running = await begin(caller, long_answer(time_limit=20))
        if harm == 'cut':
            fleet.relays.partition(['entry-0'], endpoints)
            await asyncio.sleep(1)
            fleet.relays.heal_all()
        else:
            for _ in range(5):
                for name in (*endpoints, 'entry-0'):
                    fleet.relays.reset(name)
                await asyncio.sleep(0.1)
        answer = await running.task
    assert answer.whole, answer


async def test_late_packets_of_one_endpoint(fleet: Fleet) -> None:
    """Packets from and to one endpoint come late, all others in time."""
    fleet.relays.delay('model-0', 'entry-0', 0.05)
    fleet.relays.delay('entry-0', 'model-0', 0.05)
    with fleet.caller() as caller:
        answers = await asyncio.gather(
            *(caller.ask(long_answer()) for _ in range(6)),
        )
    assert all(answer.whole for answer in answers), answers


async def test_callers_come_back_until_served(fleet: Fleet) -> None:
    """Everything dies once under a steady stream of guests.

    Callers that come back where they are told that nothing ran, and for the
    rest of a cut answer, are all served whole in the end or told a failure.
    """
    with fleet.caller() as caller:
        patient = PatientCaller(caller, patience_seconds=20)
        tasks = [
            asyncio.create_task(patient.ask(long_answer(entry=number % 2)))
            for number in range(12)
        ]
        for name in ('model-1', 'entry-1', 'model-2-engine'):
            await asyncio.sleep(0.3)
            fleet.process(name).kill()
            await fleet.restart(name)
        stories = await asyncio.gather(*tasks)
    answers = [story.answer for story in stories]
    foreign = [one for one in answers if one.faults and not told_failure(one)]
    assert not foreign
    assert any(answer.whole for answer in answers), answers
