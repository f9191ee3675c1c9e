"""Time limits that grant the lateness of the event loop once more."""

import asyncio
import time

import pytest

from ..endpoints.time_limit import run_within, wait_within

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
