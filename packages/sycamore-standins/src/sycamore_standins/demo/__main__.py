"""Run the demo: ``python -m sycamore_standins.demo``."""

import asyncio
import pathlib
import tempfile
import time

import typer

from ..fleet import Fleet
from ..fleet.fleet import running_fleet
from .mix import DemoMix
from .plan import demo_plan
from .run import DemoRun
from .settings import DemoSettings
from .table import DemoTable


def main(seed: int = 1, folder: str = '') -> None:
    """Start a fleet, send the mix, print the table; exit 0 if all is sound."""
    if folder:
        table = asyncio.run(run_demo(seed, pathlib.Path(folder)))
    else:
        with tempfile.TemporaryDirectory() as temporary:
            table = asyncio.run(run_demo(seed, pathlib.Path(temporary)))
    for line in table.lines():
        typer.echo(line)
    if not table.is_sound():
        raise typer.Exit(1)


async def run_demo(seed: int, folder: pathlib.Path) -> DemoTable:
    """Return the table of one run."""
    started = time.monotonic()
    settings = DemoSettings.from_file()
    plan = demo_plan(settings.profile)
    fleet = Fleet.from_plan(plan, folder, relayed=False)
    mix = DemoMix.from_settings(settings, seed)
    async with running_fleet(fleet):
        count = len(fleet.roster.processes)
        typer.echo(f'{count} processes ready after {_since(started)}')
        results = await DemoRun(fleet, mix).results()
    typer.echo(f'whole run: {_since(started)}')
    return DemoTable(results)


def _since(started: float) -> str:
    seconds = time.monotonic() - started
    return f'{seconds:.1f} s'


if __name__ == '__main__':
    typer.run(main)
