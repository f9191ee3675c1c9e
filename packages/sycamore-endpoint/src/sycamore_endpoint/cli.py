"""The command line of the endpoint process."""

import asyncio

from sycamore_core.cli import make_app
from sycamore_core.settings import EndpointProcessSettings
from sycamore_core.stop_signal import StopSignal

from .process import EndpointProcess


async def serve(settings: EndpointProcessSettings) -> None:
    """Run one process; its parts are created within the running event loop."""
    await run_until_signal(EndpointProcess.from_settings(settings))


async def run_until_signal(process: EndpointProcess) -> None:
    """Run a process; drain it when a stop signal arrives.

    From the end on, stop signals are ignored.
    """
    stop = StopSignal(process.parts.state.clock)
    stop.handle()
    waiting = asyncio.create_task(_stop_when_told(stop, process))
    try:
        await process.run()
    finally:
        stop.ignore()
        waiting.cancel()


async def _stop_when_told(stop: StopSignal, process: EndpointProcess) -> None:
    await stop.arrived.wait()
    process.stop(stop.arrived_at)


def main() -> None:
    """Run the command line."""
    make_app('sycamore-endpoint', serve, EndpointProcessSettings)()
