"""The work of streams that wait for an engine to resume them."""

import asyncio

import pytest
from sycamore_core.clock import SystemClock

from ..callers.refusals import Refusal, RefusalCause
from ..placement.slot_wait import ResumptionSlotWait, UnplacedRequest
from .builders_queue import NORMAL, make_call

STREAMS = 20
WAIT_SECONDS = 0.5
#: Checks that all streams may make. Each one compares all engines, and finds
#: what the others find.
MAX_CHECKS = 3 * STREAMS


async def test_waiting_streams_share_their_checks() -> None:
    """Guards against an entry whose processor only looks for free slots."""
    clock = SystemClock()
    waits = ResumptionSlotWait(clock)
    checks: list[float] = []
    call = make_call('q', NORMAL, 4000, clock.monotonic(), WAIT_SECONDS)
    request = UnplacedRequest(
        call=call,
        place=lambda: checks.append(clock.monotonic()),
        build_refusal=lambda: Refusal(RefusalCause.OVERLOADED),
    )

    async def wait() -> None:
        with pytest.raises(Refusal):
            await waits.place(request)

    await asyncio.gather(*(wait() for _ in range(STREAMS)))
    assert len(checks) <= MAX_CHECKS
