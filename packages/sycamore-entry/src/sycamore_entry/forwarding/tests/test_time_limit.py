"""Time limits that grant the lateness of the event loop once more."""

import asyncio
import time

import pytest
from sycamore_core.decisions.late_checks import READING_SECONDS

from ..endpoints.time_limit import ending_within, run_within, wait_within

LIMIT_SECONDS = 0.2


async def test_silence_ends_at_the_limit() -> None:
    """Guards against a limit that is extended although the loop is in time."""
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        await wait_within(
            asyncio.get_running_loop().create_future(), LIMIT_SECONDS
        )
    assert time.monotonic() - began >= LIMIT_SECONDS


async def test_silence_ends_after_a_stall() -> None:
    """Guards against a wait without an end after a long stall."""
    future = asyncio.get_running_loop().create_future()
    waiting = asyncio.create_task(wait_within(future, LIMIT_SECONDS))
    await asyncio.sleep(0)
    time.sleep(5 * LIMIT_SECONDS)
    _, pending = await asyncio.wait((waiting,), timeout=20 * LIMIT_SECONDS)
    assert not pending
    with pytest.raises(TimeoutError):
        waiting.result()


async def test_late_action_is_cancelled() -> None:
    """Guards against an order that is sent after it was given up."""
    cancelled = asyncio.Event()

    async def act() -> None:
        try:
            await asyncio.sleep(20 * LIMIT_SECONDS)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    with pytest.raises(TimeoutError):
        await run_within(act(), LIMIT_SECONDS)
    async with asyncio.timeout(LIMIT_SECONDS):
        await cancelled.wait()


async def test_error_of_an_action_is_passed_on() -> None:
    """Guards against an error that looks like silence."""

    async def fail() -> None:
        raise ConnectionRefusedError

    with pytest.raises(ConnectionRefusedError):
        await run_within(fail(), LIMIT_SECONDS)


async def test_block_ends_at_the_limit() -> None:
    """Guards against a block that goes on although the loop is in time."""
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        async with ending_within(LIMIT_SECONDS):
            await asyncio.Event().wait()
    assert time.monotonic() - began >= LIMIT_SECONDS


async def test_block_ends_after_a_stall() -> None:
    """Guards against a block that gets as much time again as it had."""
    with pytest.raises(TimeoutError):
        async with ending_within(LIMIT_SECONDS):
            time.sleep(20 * LIMIT_SECONDS)
            resumed = time.monotonic()
            await asyncio.Event().wait()
    assert READING_SECONDS <= time.monotonic() - resumed < 10 * LIMIT_SECONDS


async def test_block_that_ended_is_not_cancelled() -> None:
    """Guards against a limit that cancels what follows its block."""
    async with ending_within(LIMIT_SECONDS):
        time.sleep(2 * LIMIT_SECONDS)
    await asyncio.sleep(2 * LIMIT_SECONDS)


async def test_cancellation_of_a_block_is_no_time_limit() -> None:
    """Guards against a caller that leaves and is taken for a late request."""

    async def wait() -> None:
        async with ending_within(LIMIT_SECONDS):
            await asyncio.Event().wait()

    waiting = asyncio.create_task(wait())
    await asyncio.sleep(0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
