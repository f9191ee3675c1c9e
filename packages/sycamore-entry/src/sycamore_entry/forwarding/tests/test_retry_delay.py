"""The longest time from the decision of a retry to its arrival."""

import asyncio
import time

import pytest
from sycamore_core.decisions.direct import RetryBudgetLimit
from sycamore_core.decisions.direct.retry_budget import MAX_DELAY_FRACTION

from ..endpoints.channel import (
    CONNECT_SECONDS,
    LATE_CONNECT_SECONDS,
    EndpointChannel,
)
from ..endpoints.endpoint_stream import (
    UNACKNOWLEDGED_TIMEOUT_MS,
    EndpointStream,
)
from ..errors import AttemptError
from ..flow_control import FlowControl
from .builders import HOST, SimpleWire

STALL_SECONDS = 3.0
_MS = 1000


def test_retry_arrives_within_the_delay_of_its_budget() -> None:
    """Guards against retries that arrive beside those of a later window."""
    limit = RetryBudgetLimit()
    longest = (
        limit.placing_seconds
        + CONNECT_SECONDS
        + LATE_CONNECT_SECONDS
        + UNACKNOWLEDGED_TIMEOUT_MS / _MS
    )
    assert longest == pytest.approx(limit.window * MAX_DELAY_FRACTION)


async def test_connection_ends_soon_after_a_stall(monkeypatch) -> None:
    """Guards against a late connection that delays a retry twice as long."""
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(
        EndpointStream, 'connect', lambda *_: loop.create_future()
    )
    connecting = asyncio.create_task(
        EndpointChannel.connect(HOST, 1, SimpleWire(), FlowControl())
    )
    await asyncio.sleep(0)
    time.sleep(STALL_SECONDS)
    resumed = time.monotonic()
    with pytest.raises(AttemptError):
        await connecting
    assert time.monotonic() - resumed < CONNECT_SECONDS
