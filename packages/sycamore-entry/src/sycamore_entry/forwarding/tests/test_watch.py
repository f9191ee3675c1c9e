"""Watches of the platform that are called again."""

import asyncio

import pytest
from sycamore_core.clock import SystemClock
from sycamore_core.errors import PlatformError

from ..fleet import watch
from ..fleet.feed import ChangeBatch, Revision

ANSWER = ChangeBatch(Revision(4))
WAIT_SECONDS = 5


class Calls:
    """Calls that are answered, or fail, when the test says so."""

    def __init__(self) -> None:
        self.made: list[asyncio.Future[ChangeBatch]] = []

    async def make(self) -> ChangeBatch:
        answer = asyncio.get_running_loop().create_future()
        self.made.append(answer)
        return await answer


async def begin(calls: Calls) -> tuple[watch.PlatformWatch, asyncio.Task]:
    """Begin a watch; return it with its task."""
    begun = watch.PlatformWatch(SystemClock())
    task = asyncio.create_task(begun.run(calls.make))
    while not calls.made:
        await asyncio.sleep(0)
    return begun, task


async def repeat(begun: watch.PlatformWatch, calls: Calls) -> None:
    """Call again, and wait until the call is made."""
    number = len(calls.made)
    async with asyncio.timeout(WAIT_SECONDS):
        while len(calls.made) == number:
            begun.repeat()
            await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def short_gap(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, 'REPEAT_SECONDS', 0.05)


async def test_answer_of_the_second_call_counts() -> None:
    """Guards against an entry that waits for an answer that was lost."""
    calls = Calls()
    begun, task = await begin(calls)
    await repeat(begun, calls)
    calls.made[1].set_result(ANSWER)
    assert await task is ANSWER
    assert calls.made[0].cancelled()


async def test_failed_call_does_not_end_a_watch_that_waits() -> None:
    """Guards against a platform that seems lost as one of two calls fails."""
    calls = Calls()
    begun, task = await begin(calls)
    await repeat(begun, calls)
    calls.made[0].set_exception(PlatformError('no answer'))
    await asyncio.sleep(0.01)
    calls.made[1].set_result(ANSWER)
    assert await task is ANSWER


async def test_watch_fails_once_all_its_calls_have_failed() -> None:
    """Guards against a watch without a call."""
    calls = Calls()
    begun, task = await begin(calls)
    await repeat(begun, calls)
    for call in calls.made:
        call.set_exception(PlatformError('no answer'))
    with pytest.raises(PlatformError):
        await task


async def test_claims_in_series_cost_few_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call for each claim of each peer."""
    monkeypatch.setattr(watch, 'REPEAT_SECONDS', 0.2)
    calls = Calls()
    begun, task = await begin(calls)
    for _ in range(30):
        begun.repeat()
        await asyncio.sleep(0.01)
    task.cancel()
    assert len(calls.made) <= 3
