"""Sends the mix to the fleet and collects what became of it."""

import asyncio
from collections.abc import Awaitable, Sequence
from typing import TypeVar

import msgspec

from ..caller import PatientCaller, Story
from ..fleet import Fleet
from ..fleet.counts import FleetCounts, wait_freed
from .mix import DemoMix, ModelWork, PlainWork

_PATIENCE_SECONDS = 25.0
_Result = TypeVar('_Result')


class ModelResult(msgspec.Struct, frozen=True):
    """One model request and what became of it."""

    work: ModelWork
    story: Story


class PlainResult(msgspec.Struct, frozen=True):
    """One call of the plain service and what became of it."""

    work: PlainWork
    story: Story


class DemoResults(msgspec.Struct, frozen=True):
    """All that callers received, and what the back ends say that they ran."""

    models: tuple[ModelResult, ...]
    plains: tuple[PlainResult, ...]
    counts: FleetCounts


class DemoRun:
    """One run of the mix against a started fleet."""

    def __init__(self, fleet: Fleet, mix: DemoMix) -> None:
        self.fleet = fleet
        self.mix = mix
        self.callers = [
            PatientCaller(fleet.caller(number), _PATIENCE_SECONDS)
            for number, _ in enumerate(fleet.plan.workspaces)
        ]

    async def results(self) -> DemoResults:
        """Send everything and return the results."""
        models, plains = await asyncio.gather(
            _gather([self._model(work) for work in self.mix.models]),
            _gather([self._plain(work) for work in self.mix.plains]),
        )
        await wait_freed(self.fleet)
        return DemoResults(
            models=tuple(models),
            plains=tuple(plains),
            counts=await FleetCounts.read(self.fleet),
        )

    async def _model(self, work: ModelWork) -> ModelResult:
        await asyncio.sleep(work.start)
        story = await self.callers[work.workspace].ask(work.ask)
        return ModelResult(work, story)

    async def _plain(self, work: PlainWork) -> PlainResult:
        await asyncio.sleep(work.start)
        caller = self.callers[work.workspace]
        story = await caller.call(work.ask, reserved=work.reserved)
        return PlainResult(work, story)


async def _gather(works: Sequence[Awaitable[_Result]]) -> list[_Result]:
    return list(await asyncio.gather(*works))
