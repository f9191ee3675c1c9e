"""Capacity of finished and abandoned requests comes back."""

import asyncio

import pytest
from sycamore_standins.engine.hook_bodies import EngineFaults
from sycamore_standins.fleet import Fleet
from sycamore_standins.fleet.counts import read_held_tokens

from .builders import long_answer, model_ask
from .stories import begin, endpoint_of, wait_memory_free

ENDLESS = model_ask(max_output_tokens=2000, time_limit=60)


async def test_caller_goes_away(fleet: Fleet) -> None:
    """A guest closes the chat in the middle of a long answer."""
    with fleet.caller() as caller:
        running = await begin(caller, ENDLESS)
        assert await read_held_tokens(fleet) > 0
        running.task.cancel()
    await wait_memory_free(fleet)


async def test_caller_gives_up_by_id(fleet: Fleet) -> None:
    """A caller deletes its request through the other entry."""
    with fleet.caller() as caller:
        running = await begin(caller, ENDLESS)
        await caller.give_up(running.answer.request_id, entry=1)
        await wait_memory_free(fleet)
        answer = await running.task
        assert not answer.whole, answer


@pytest.mark.parametrize('victim', ['entry-0', 'endpoint'])
async def test_process_dies_with_a_run(fleet: Fleet, victim: str) -> None:
    """The process that watches over a run dies; nobody comes back for it.

    After the grace for callers that come back, the run ends and its memory is
    free, also where the process beside the engine has forgotten the run.
    """
    with fleet.caller() as caller:
        ask = model_ask(max_output_tokens=2000, time_limit=12)
        running = await begin(caller, ask)
        endpoint = await endpoint_of(fleet, running.answer.request_id)
        name = endpoint if victim == 'endpoint' else victim
        fleet.process(name).kill()
        await fleet.restart(name)
        running.task.cancel()
    await wait_memory_free(fleet)


async def test_caller_goes_away_before_the_first_token(fleet: Fleet) -> None:
    """Guests leave while their prompts wait in stalled engines."""
    for engine in fleet.roster.engines:
        await fleet.hooks(engine).misbehave(EngineFaults(stalled=True))
    with fleet.caller() as caller:
        tasks = [asyncio.create_task(caller.ask(ENDLESS)) for _ in range(10)]
        while not await read_held_tokens(fleet):
            await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
    await wait_memory_free(fleet)


async def test_cancellation_is_lost(fleet: Fleet) -> None:
    """A guest leaves while its entry cannot reach the endpoint."""
    with fleet.caller() as caller:
        ask = model_ask(max_output_tokens=2000, time_limit=15)
        running = await begin(caller, ask)
        fleet.relays.partition(['entry-0'], list(fleet.roster.endpoints))
        running.task.cancel()
    await wait_memory_free(fleet)


@pytest.mark.parametrize('victim', ['first', 'last', 'engine', 'entry-0'])
async def test_death_in_a_group(fleet: Fleet, victim: str) -> None:
    """A process dies half way through a prompt that several engines share.

    The spans that the others hold are freed in time. The time limit is long,
    so that it is the death and not the limit that frees them.
    """
    for engine in fleet.roster.engines:
        await fleet.hooks(engine).misbehave(EngineFaults(slow_factor=20))
    with fleet.caller() as caller:
        ask = model_ask(prompt='x' * 4 * 45_000, time_limit=240)
        task = asyncio.create_task(caller.ask(ask))
        holders = await group_holders(fleet, task)
        name = {
            'first': holders[0].removesuffix('-engine'),
            'last': holders[-1].removesuffix('-engine'),
            'engine': holders[0],
        }.get(victim, victim)
        fleet.process(name).kill()
        await task
        await fleet.restart(name)
    await wait_memory_free(fleet)


async def test_steady_work_after_all(fleet: Fleet) -> None:
    """After all of the above the fleet serves as much as before."""
    with fleet.caller() as caller:
        answers = await asyncio.gather(
            *(caller.ask(long_answer(entry=number % 2)) for number in range(9)),
        )
    assert all(answer.whole for answer in answers), answers
    await wait_memory_free(fleet)


async def group_holders(fleet: Fleet, task: asyncio.Task) -> list[str]:
    """Return the engines that hold spans, once one does."""
    while True:
        held = {
            engine: await fleet.hooks(engine).memory()
            for engine in fleet.roster.engines
        }
        holders = [name for name, memory in held.items() if memory.spans]
        if holders:
            return holders
        assert not task.done(), task.result()
        await asyncio.sleep(0.02)
