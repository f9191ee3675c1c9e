"""Builders of test data for the stand-ins."""

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator

from ..engine import EngineProfile
from ..fleet.addresses import AddressPool
from ..fleet.hooks import Hooks
from ..fleet.process import ManagedProcess
from ..fleet.waiting import wait_until

FAST = EngineProfile(
    memory_tokens=10_000,
    prefill_rate=1_000_000,
    step_base_seconds=0.002,
    step_slope_seconds=0,
    report_lag_seconds=0.1,
    event_loss=0,
)


@contextlib.asynccontextmanager
async def standin(
    folder: pathlib.Path,
    module: str,
    *options: str,
) -> AsyncIterator[Hooks]:
    """Run one stand-in process and give its hooks."""
    pool = AddressPool.for_fleet(200)
    port = pool.port()
    process = ManagedProcess(
        module,
        (
            f'sycamore_standins.{module}',
            f'--host={pool.host}',
            f'--port={port}',
            *options,
        ),
        folder / f'{module}.log',
    )
    hooks = Hooks(f'http://{pool.host}:{port}')
    process.start()
    try:
        await wait_until(hooks.ready, f'{module} is ready')
        yield hooks
    finally:
        await asyncio.to_thread(process.kill)
