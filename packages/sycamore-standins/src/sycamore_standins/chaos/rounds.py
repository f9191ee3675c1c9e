"""One round: load, harm, and what callers received."""

import asyncio
import random
from collections.abc import Iterator

from ..caller import Ask, Caller, PatientCaller, PlainAsk, new_key
from ..fleet import Fleet, ProcessError
from ..fleet.counts import read_credits, read_held_tokens, read_runs
from ..fleet.waiting import wait_until
from .harms import KINDS, Harm
from .plan import ASSISTANT, RECORDS
from .verdict import (
    Evidence,
    Finding,
    ModelRecord,
    PlainRecord,
    judge_models,
    judge_plains,
)

_MODELS = 10
_PLAINS = 6
_ENTRIES = 2
_MOST_HARMS = 3
_SPREAD_SECONDS = 1.0
_TIME_LIMIT = 8.0
_PATIENCE_SECONDS = 6.0
#: A round that takes longer shows a caller that is told nothing.
_LONGEST_SECONDS = 60.0
_MOST_TOKENS = 120
_LARGEST_PROMPT = 30_000


class ChaosRound:
    """One round of a seed."""

    def __init__(self, fleet: Fleet, seed: int, number: int) -> None:
        self.fleet = fleet
        self.name = f'{seed}-{number}'
        self.draw = random.Random(self.name)
        count = self.draw.randint(1, _MOST_HARMS)
        self.harms = [
            self.draw.choice(KINDS).drawn(fleet, self.draw)
            for _ in range(count)
        ]

    async def run(self) -> list[Evidence]:
        """Return what was wrong."""
        with self.fleet.caller() as caller:
            try:
                async with asyncio.timeout(_LONGEST_SECONDS):
                    return await self._run(caller)
            except TimeoutError:
                return [Evidence(Finding.LOST, 'the round did not end')]

    async def _run(self, caller: Caller) -> list[Evidence]:
        models, plains, _ = await asyncio.gather(
            asyncio.gather(*(self._model(caller, ask) for ask in self._asks())),
            asyncio.gather(
                *(self._plain(caller, ask) for ask in self._calls())
            ),
            asyncio.gather(*(self._strike(harm) for harm in self.harms)),
        )
        await self.fleet.restore()
        evidence = await self._leaks()
        evidence.extend(judge_models(models, await read_runs(self.fleet)))
        evidence.extend(judge_plains(plains, await read_credits(self.fleet)))
        return evidence

    def _asks(self) -> Iterator[Ask]:
        for _ in range(_MODELS):
            yield Ask(
                service=ASSISTANT,
                prompt='x' * self.draw.randint(1, _LARGEST_PROMPT),
                max_output_tokens=self.draw.randint(1, _MOST_TOKENS),
                time_limit=_TIME_LIMIT,
                idempotent=self.draw.choice((True, False)),
                entry=self.draw.randrange(_ENTRIES),
            )

    def _calls(self) -> Iterator[PlainAsk]:
        for number in range(_PLAINS):
            yield PlainAsk(
                service=RECORDS,
                business_id=f'{self.name}-{number}',
                time_limit=_TIME_LIMIT,
                idempotency_key=self.draw.choice(('', new_key())),
                entry=self.draw.randrange(_ENTRIES),
            )

    async def _model(self, caller: Caller, ask: Ask) -> ModelRecord:
        await self._wait()
        patient = PatientCaller(caller, _PATIENCE_SECONDS)
        return ModelRecord(ask, await patient.ask(ask))

    async def _plain(self, caller: Caller, ask: PlainAsk) -> PlainRecord:
        await self._wait()
        patient = PatientCaller(caller, _PATIENCE_SECONDS)
        reserved = not ask.idempotency_key and self.draw.choice((True, False))
        return PlainRecord(ask, await patient.call(ask, reserved=reserved))

    async def _strike(self, harm: Harm) -> None:
        await self._wait()
        try:
            await harm.strike(self.fleet)
        except ProcessError:
            # Another harm has ended or paused what this one needs; the
            # fleet is restored after the round.
            return

    async def _wait(self) -> None:
        await asyncio.sleep(self.draw.uniform(0, _SPREAD_SECONDS))

    async def _leaks(self) -> list[Evidence]:
        try:
            await wait_until(self._is_free, 'all memory is free')
        except ProcessError:
            held = await read_held_tokens(self.fleet)
            return [Evidence(Finding.LEAKED, f'{held} tokens')]
        return []

    async def _is_free(self) -> bool:
        return await read_held_tokens(self.fleet) == 0
