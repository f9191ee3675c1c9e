"""Run rounds: ``python -m sycamore_standins.chaos --seed S --rounds N``."""

import asyncio
import pathlib
import tempfile

import typer

from ..fleet import Fleet
from ..fleet.fleet import running_fleet
from .plan import chaos_plan
from .rounds import ChaosRound


def main(seed: int = 1, rounds: int = 20, first: int = 0) -> None:
    """Run the rounds of a seed; exit 0 if none broke a promise.

    A round can be run alone by its number: ``--first 7 --rounds 1``.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        faulty = asyncio.run(
            run_rounds(seed, range(first, first + rounds), path)
        )
    typer.echo(f'{rounds} rounds of seed {seed}: {faulty} with faults')
    if faulty:
        raise typer.Exit(1)


async def run_rounds(
    seed: int,
    numbers: range,
    folder: pathlib.Path,
) -> int:
    """Return how many rounds broke a promise."""
    async with running_fleet(Fleet.from_plan(chaos_plan(), folder)) as fleet:
        verdicts = [await run_one(fleet, seed, number) for number in numbers]
    return verdicts.count(True)


async def run_one(fleet: Fleet, seed: int, number: int) -> bool:
    """Run one round, print what it did and return whether it had faults."""
    one = ChaosRound(fleet, seed, number)
    evidence = await one.run()
    harms = ', '.join(str(harm) for harm in one.harms)
    verdict = 'FAULTS' if evidence else 'sound'
    typer.echo(f'round {number}: {verdict}: {harms}')
    for shown in evidence:
        typer.echo(f'  {shown.finding}: {shown.shown_by}')
    if evidence:
        await fleet.restore()
    return bool(evidence)


if __name__ == '__main__':
    typer.run(main)
