"""Command line of the endpoint process."""

import asyncio
import signal

import typer
from sycamore_core.errors import SycamoreError
from sycamore_core.settings import (
    EndpointProcessSettings,
    load_process_settings,
)
from sycamore_core.telemetry import start_logging

from .process import EndpointProcess

app = typer.Typer(no_args_is_help=True, add_completion=False)

_SETTINGS = typer.Option(
    ..., '--settings', help='Settings file of the process.'
)
_UNUSABLE = 2


@app.callback()
def endpoint() -> None:
    """Gate to one engine or plain service."""


@app.command()
def run(settings: str = _SETTINGS) -> None:
    """Serve until SIGTERM, then finish what is in progress and end."""
    try:
        loaded = load_process_settings(settings, EndpointProcessSettings)
    except SycamoreError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_UNUSABLE) from error
    start_logging(loaded.log_level)
    asyncio.run(serve(loaded))


async def serve(settings: EndpointProcessSettings) -> None:
    """Run one endpoint process to its end."""
    process = EndpointProcess(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.stop)
    await process.run()


def main() -> None:
    """Entry point of the script ``sycamore-endpoint``."""
    app()
