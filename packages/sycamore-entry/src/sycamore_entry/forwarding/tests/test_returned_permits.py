"""Reserved retries of attempts that need no other attempt."""

import asyncio

import pytest

from ..endpoints.move_permit import MovePermit
from .builders import (
    HOST,
    MODEL,
    RawEndpoint,
    Script,
    TestEntry,
    full_answer,
    never_reply,
    request_bytes,
    running_entry,
)
from .builders_ended import (
    AT_ONCE_SECONDS,
    CHAT,
    UNSAFE,
    asked,
    first_asked,
    one_event,
    pause_in_stream,
)
from .builders_overload import captured_lines
from .builders_silence import (
    is_whole,
    leave_one_retry,
    pausing_pair,
    report_end,
)

CAUSE = 'silent'


async def reserved(entry: TestEntry) -> MovePermit:
    """Reserve the only retry for the attempt in progress; return its permit."""
    groups = entry.context.keeper.ended._listeners
    async with asyncio.timeout(2):
        while not groups:
            await asyncio.sleep(0.005)
    listeners = set().union(*groups.values())
    permit = next(iter(listeners)).watch.permit
    leave_one_retry(entry, MODEL)
    assert permit.acquire(CAUSE)
    assert not entry.context.retry_budget(MODEL).try_acquire(entry_now(entry))
    return permit


def entry_now(entry: TestEntry) -> float:
    return entry.context.clock.monotonic()


@pytest.mark.parametrize(
    ('script', 'patience'),
    [(pause_in_stream, '3'), (never_reply, '0.4'), (one_event, '0.4')],
    ids=['answered', 'late', 'cut'],
)
async def test_unused_permit_comes_back(script: Script, patience: str) -> None:
    """Guards against retries that nobody gets as an attempt needs no other."""
    fleet = [RawEndpoint(name, script) for name in ('e1', 'e2')]
    async with running_entry(CHAT, *fleet) as entry:
        async with asked(entry, Prompt='4000', Patience=patience) as answer:
            permit = await reserved(entry)
            await answer
        assert permit.permit is None
        budget = entry.context.retry_budget(MODEL)
        assert not budget.held
        assert budget.try_acquire(entry_now(entry))
        assert sum(len(one.requests) for one in fleet) == 1


async def test_permit_comes_back_as_the_caller_leaves() -> None:
    """Guards against retries that callers take with them."""
    fleet = [RawEndpoint(name, one_event) for name in ('e1', 'e2')]
    async with running_entry(CHAT, *fleet) as entry:
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(request_bytes(Prompt='4000'))
        await reader.readuntil(b'piece 0')
        permit = await reserved(entry)
        writer.close()
        async with asyncio.timeout(1):
            while permit.permit is not None:
                await asyncio.sleep(0.005)
        assert entry.context.retry_budget(MODEL).try_acquire(entry_now(entry))


async def test_stream_that_stays_is_logged_once() -> None:
    """Guards against a line at each check of a stream without a retry."""
    lines: list[dict[str, object]] = []
    async with running_entry(CHAT, *pausing_pair()) as entry:
        leave_one_retry(entry, MODEL)
        entry.context.retry_budget(MODEL).reserve = 0
        with captured_lines('attempt_kept', lines):
            assert is_whole(await entry.ask(Prompt='4000'))
    assert [line['cause'] for line in lines] == [CAUSE]
    assert lines[0]['may_move']
    assert lines[0]['has_alternative']


async def answer_late(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(2 * AT_ONCE_SECONDS)
    writer.write(full_answer())


async def test_call_that_cannot_move_outlasts_a_doubtful_end() -> None:
    """Guards against a deposit that fails because a peer lost a path."""
    endpoint = RawEndpoint('e1', answer_late)
    async with running_entry(UNSAFE, endpoint) as entry:
        async with asked(entry) as answer:
            await first_asked([endpoint])
            report_end(entry, endpoint)
            text = await answer
    assert text.startswith(b'HTTP/1.1 200')
