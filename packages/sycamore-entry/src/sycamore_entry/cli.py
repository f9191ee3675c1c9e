"""The command line of the entry process."""

import asyncio
from typing import Annotated

import typer
from sycamore_core.settings import EntryProcessSettings, load_process_settings
from sycamore_core.telemetry import start_logging

from .process import EntryProcess

SettingsFile = Annotated[
    str,
    typer.Option(help='Settings file of this process.'),
]

app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.callback()
def about() -> None:
    """Entry process: HTTP for callers and operators of sycamorestack."""


@app.command()
def run(settings: SettingsFile) -> None:
    """Serve until SIGTERM, then finish what is in progress."""
    loaded = load_process_settings(settings, EntryProcessSettings)
    start_logging(loaded.log_level)
    asyncio.run(serve(loaded))


async def serve(settings: EntryProcessSettings) -> None:
    """Run one process; its parts need the running event loop."""
    await EntryProcess.from_settings(settings).run()


def main() -> None:
    """Run the binary."""
    app()
