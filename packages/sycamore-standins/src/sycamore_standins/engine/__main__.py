"""Run an engine: ``python -m sycamore_standins.engine --port N``."""

import asyncio
from typing import Annotated

import typer
from sycamore_core.clock import SystemClock
from sycamore_core.settings import load_process_settings

from ..web import serve
from .handlers import EngineState
from .orders import OrderBook
from .profile import EngineProfile
from .runner import EngineRunner
from .testing import make_application


def main(
    port: Annotated[int, typer.Option()],
    host: str = '127.0.0.1',
    profile: str = '',
    order_seconds: float = 0.1,
    journal: str = '',
    *,
    checks_fencing: bool = True,
) -> None:
    """Serve an engine whose figures are in the settings file `profile`."""
    figures = EngineProfile()
    if profile:
        figures = load_process_settings(profile, EngineProfile)
    orders = OrderBook(
        checks_fencing=checks_fencing,
        order_seconds=order_seconds,
    )
    runner = EngineRunner.from_profile(figures, SystemClock(), journal)
    asyncio.run(serve_engine(EngineState(runner, orders), host, port))


async def serve_engine(
    state: EngineState,
    host: str,
    port: int,
) -> None:
    """Drive the engine and serve it until SIGTERM."""
    driving = asyncio.create_task(state.runner.run())
    await serve(make_application(state), host, port)
    driving.cancel()


if __name__ == '__main__':
    typer.run(main)
