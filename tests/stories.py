"""Steps that several tests take, and what they hold callers' answers to."""

import asyncio
import functools
from collections.abc import Sequence

import msgspec
from sycamore_standins.caller import Answer, Ask, Caller, PlainAnswer
from sycamore_standins.fleet import Fleet
from sycamore_standins.fleet.counts import (
    read_credits,
    read_held_tokens,
    read_runs,
)
from sycamore_standins.fleet.waiting import wait_until


class Running(msgspec.Struct, frozen=True):
    """A model request in progress: its answer so far, and the task."""

    answer: Answer
    task: asyncio.Task[Answer]


async def begin(caller: Caller, ask: Ask, pieces: int = 3) -> Running:
    """Send a request; return once some pieces of the answer have come."""
    answer = Answer()
    task = asyncio.create_task(caller.ask(ask, answer))
    enough = functools.partial(has_pieces, answer, task, pieces)
    await wait_until(enough, 'the answer has begun')
    return Running(answer, task)


async def has_pieces(
    answer: Answer,
    task: asyncio.Task[Answer],
    pieces: int,
) -> bool:
    """Return whether so much of an answer has come."""
    assert not task.done(), answer
    return len(answer.pieces) >= pieces


async def resume_until_closed(
    caller: Caller,
    answer: Answer,
    entry: int,
) -> Answer:
    """Come back for an answer through `entry` until it is told how it ended."""
    while True:
        came = await caller.resume(answer, entry)
        if came.closing is not None or came.problem is not None:
            return came
        answer = came


async def engine_of(fleet: Fleet, request_id: str) -> str:
    """Return the name of the engine that ran a request last."""
    found = ''
    for engine in fleet.roster.engines:
        runs = await fleet.hooks(engine).runs()
        if any(run.request_id == request_id for run in runs):
            found = engine
    assert found, f'no engine ran {request_id}'
    return found


async def endpoint_of(fleet: Fleet, request_id: str) -> str:
    """Return the name of the endpoint process that runs a request."""
    engine = await engine_of(fleet, request_id)
    return engine.removesuffix('-engine')


async def service_of(fleet: Fleet, business_id: str) -> str:
    """Return the plain service that a call has reached, or an empty name."""
    for service in fleet.roster.plain_services:
        calls = await fleet.hooks(service).calls()
        if any(call.business_id == business_id for call in calls):
            return service
    return ''


async def wait_reached(fleet: Fleet, business_id: str) -> str:
    """Return the plain service that a call reaches, once it has."""

    async def reached() -> bool:
        return bool(await service_of(fleet, business_id))

    await wait_until(reached, f'{business_id} reached a service')
    return await service_of(fleet, business_id)


async def wait_memory_free(fleet: Fleet) -> None:
    """Return once no request or span holds memory at any engine."""

    async def is_free() -> bool:
        return await read_held_tokens(fleet) == 0

    await wait_until(is_free, 'all memory is free')


async def assert_ran_as_told(
    fleet: Fleet,
    business_id: str,
    answers: Sequence[PlainAnswer],
) -> None:
    """Hold all that was told of one credit against what the services saw."""
    times = (await read_credits(fleet))[business_id]
    assert times <= 1, f'{business_id} ran {times} times: {answers}'
    told_done = any(answer.done for answer in answers)
    assert not told_done or times == 1, answers
    told_not_run = all(is_not_run(answer) for answer in answers)
    assert not told_not_run or times == 0, answers


async def assert_model_ran_as_told(
    fleet: Fleet,
    answers: Sequence[Answer],
) -> None:
    """Hold what was told of non-idempotent requests against the engines."""
    runs = await read_runs(fleet)
    for answer in answers:
        times = runs[answer.request_id]
        assert times <= 1, f'{answer} ran {times} times'
        told = None if answer.problem is None else answer.problem.not_run
        assert told is not True or times == 0, answer
        assert not answer.whole or times == 1, answer


def is_not_run(answer: PlainAnswer) -> bool:
    """Return whether a caller was told that its call did not run."""
    return answer.problem is not None and answer.problem.not_run is True
