"""Runs the engine model in real time and keeps what it has generated."""

import asyncio
import zlib
from collections import OrderedDict
from typing import Self

import msgspec
from sycamore_core.clock import Clock
from sycamore_core.errors import BackendError
from sycamore_core.ids import GroupId, RequestId
from sycamore_core.states import Outcome

from ..record_file import RecordFile
from .clock import PAUSE_SECONDS, EngineClock
from .hook_bodies import EngineFaults, EngineRun
from .model import EngineModel
from .profile import EngineProfile
from .sequences import SequenceRequest, SpanRequest, StepResult

#: Ended answers that can still be resumed; older ones are forgotten.
_KEPT_ANSWERS = 20_000


class Generation:
    """One run of a request: how many steps it has and how it ended."""

    def __init__(self, request_id: RequestId) -> None:
        self.request_id = request_id
        self.steps = 0
        self.outcome: Outcome | None = None
        self.aborts_after: int | None = None
        self._changed = asyncio.Event()

    def step(self) -> None:
        """Note one more token."""
        self.steps += 1
        self._changed.set()

    def end(self, outcome: Outcome) -> None:
        """Note the end, once."""
        self.outcome = self.outcome or outcome
        self._changed.set()

    async def wait_beyond(self, steps: int) -> None:
        """Return when there are more steps than `steps`, or the end."""
        while self.steps <= steps and self.outcome is None:
            self._changed.clear()
            await self._changed.wait()


class EngineRunner:
    """The engine in real time."""

    def __init__(self, profile: EngineProfile, clock: Clock) -> None:
        self.profile = profile
        self.model = EngineModel(profile)
        self.clock = EngineClock(clock)
        self.faults = EngineFaults()
        self.generations: OrderedDict[RequestId, Generation] = OrderedDict()
        self.journal = RecordFile('', EngineRun)
        self.runs: dict[RequestId, EngineRun] = {}
        self._spans: dict[str, asyncio.Event] = {}
        self._wake = asyncio.Event()

    @classmethod
    def from_profile(
        cls,
        profile: EngineProfile,
        clock: Clock,
        journal: str = '',
    ) -> Self:
        """Return an engine with nothing in it.

        Parameters
        ----------
        journal
            File that keeps the counts of runs over a restart; empty for none.
        """
        runner = cls(profile, clock)
        runner.journal = RecordFile(journal, EngineRun)
        runner.runs = {run.request_id: run for run in runner.journal.read()}
        return runner

    def misbehave(self, faults: EngineFaults) -> None:
        """Change how the engine misbehaves."""
        self.faults = faults
        if faults.stalled:
            self.clock.stop()
        else:
            self.clock.go_on()
        self._wake.set()
        profile = self.profile
        self.model.profile = msgspec.structs.replace(
            profile,
            prefill_rate=profile.prefill_rate / faults.slow_factor,
            step_base_seconds=profile.step_base_seconds * faults.slow_factor,
            step_slope_seconds=profile.step_slope_seconds * faults.slow_factor,
        )

    def submit(self, request: SequenceRequest, prompt: bytes) -> Generation:
        """Run a request.

        Raises
        ------
        BackendError
            If there is no memory for it, or its id is running.
        """
        self.model.submit(request, self.clock.now())
        generation = Generation(request.request_id)
        if self.faults.aborts > 0:
            self.faults.aborts -= 1
            generation.aborts_after = self.faults.after_lines
        self.generations[request.request_id] = generation
        while len(self.generations) > _KEPT_ANSWERS:
            self.generations.popitem(last=False)
        self._count(request.request_id, prompt)
        self._wake.set()
        return generation

    def cancel(self, request_id: RequestId) -> bool:
        """End a run; return False if it is not running."""
        cancelled = self.model.cancel(request_id, self.clock.now())
        generation = self.generations.get(request_id)
        if cancelled and generation is not None:
            generation.end(Outcome.CANCELLED)
        self._wake.set()
        return cancelled

    async def prepare_span(self, span: SpanRequest) -> None:
        """Return once the KV cache of a span is computed.

        Raises
        ------
        BackendError
            If there is no memory for it, or its group was released meanwhile.
        """
        self.model.prepare_span(span, self.clock.now())
        self._spans[span.handle] = asyncio.Event()
        self._wake.set()
        await self._spans[span.handle].wait()
        if span not in self.model.spans():
            raise BackendError(f'{span.handle} was released')

    def release(self, group: GroupId) -> int:
        """Free the spans of a group; return how many tokens that gave."""
        handles = [
            span.handle for span in self.model.spans() if span.group == group
        ]
        released = self.model.release_group(group, self.clock.now())
        for handle in handles:
            self._spans.pop(handle).set()
        self._wake.set()
        return released

    async def run(self) -> None:
        """Drive the model until cancelled."""
        while True:
            await self._wait()
            for result in self.model.advance(self.clock.now()):
                self._deliver(result)

    async def _wait(self) -> None:
        self._wake.clear()
        planned = self.model.next_event()
        if self.clock.stopped_at is not None:
            await self._wake.wait()
            return
        seconds = planned - self.clock.now()
        try:
            async with asyncio.timeout(max(seconds, 0)):
                await self._wake.wait()
        except TimeoutError:
            self.clock.skip(self._pause(planned))

    def _pause(self, planned: float) -> float:
        late = self.clock.now() - planned
        return late if late > PAUSE_SECONDS else 0

    def _deliver(self, result: StepResult) -> None:
        for request_id in result.tokens:
            self._deliver_token(self.generations[request_id])
        for request_id in result.finished:
            self.generations[request_id].end(Outcome.COMPLETE)
        for handle in result.spans:
            self._spans[handle].set()

    def _deliver_token(self, generation: Generation) -> None:
        if generation.steps == generation.aborts_after:
            self.model.cancel(generation.request_id, self.clock.now())
            generation.end(Outcome.FAILED)
            return
        generation.step()

    def _count(self, request_id: RequestId, prompt: bytes) -> None:
        before = self.runs.get(request_id)
        run = EngineRun(
            request_id=request_id,
            times=1 if before is None else before.times + 1,
            prompt_bytes=len(prompt),
            prompt_checksum=zlib.crc32(prompt),
        )
        self.journal.append(run)
        self.runs[request_id] = run
