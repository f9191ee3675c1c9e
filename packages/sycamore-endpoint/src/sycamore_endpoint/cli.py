"""The command line of the endpoint process."""

import asyncio
import signal

from sycamore_core.cli import make_app
from sycamore_core.settings import EndpointProcessSettings

from .process import EndpointProcess


async def serve(settings: EndpointProcessSettings) -> None:
    """Run one process; its parts are created within the running event loop."""
    process = EndpointProcess.from_settings(settings)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, process.stop)
    await process.run()


def main() -> None:
    """Run the command line."""
    make_app('sycamore-endpoint', serve, EndpointProcessSettings)()
