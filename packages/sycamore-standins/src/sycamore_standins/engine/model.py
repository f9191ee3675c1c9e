"""A pure model of a model engine: no network, no clock, no hidden randomness.

It batches continuously, computes prompts in chunks by priority, caches prefixes
in limited memory and holds spans of prompts that are longer than its memory.

How to drive it::

    model = EngineModel(EngineProfile(), draw)
    model.submit(SequenceRequest(...), now)    # or OutOfMemoryError,
    model.prepare_span(SpanRequest(...), now)  # or DuplicateError
    while ...:
        wake = model.next_event()               # inf when idle
        for step in model.advance(wake):        # all steps that end by `wake`
            step.tokens, step.first, step.finished, step.spans

Times are seconds on any monotonic clock, and every `now` must be at least as
late as the ones before. A step lasts ``base + slope * decoding sequences``, and
the tokens of prompts computed in it add ``tokens / prefill_rate``. A sequence
gets its first token at the end of the step that computes the last part of its
prompt. Work that comes during a step joins the next one.

Left out: attention that grows with the length of the context, and blocks shared
by running sequences, which are counted once for each.
"""

from collections.abc import Callable, Iterable

from sycamore_core.ids import GroupId, RequestId

from .batch import Batch, StepPlan
from .gauge import LoadGauge
from .memory import EngineMemory
from .prefix_cache import CacheEvent
from .profile import EngineProfile
from .sequences import (
    EngineLoad,
    SequenceRequest,
    SpanRequest,
    StepResult,
    Work,
)

_NEVER = float('inf')


def _always_published() -> float:
    return 1


class EngineModel:
    """One engine; see the module for how to drive it.

    Parameters
    ----------
    profile
        Its figures. May be replaced while it runs, to make the engine slower.
    draw
        Returns numbers from 0 to 1, for the loss of cache events.
    """

    def __init__(
        self,
        profile: EngineProfile,
        draw: Callable[[], float] = _always_published,
    ) -> None:
        self.profile = profile
        self.memory = EngineMemory(profile, draw)
        self.gauge = LoadGauge(profile.report_lag_seconds)
        self.batch = Batch()
        self.step_started: float = 0
        self.step_ends = _NEVER
        self._plan = StepPlan()
        self._order = 0

    def submit(self, request: SequenceRequest, now: float) -> None:
        """Take a sequence; its memory is leased until it ends.

        Raises
        ------
        OutOfMemoryError
            If prompt and longest answer do not fit into the free memory.
        DuplicateError
            If a request with this id is in the engine.
        """
        transfer = request.imported_tokens / self.profile.transfer_rate
        self._take(
            Work(
                name=request.request_id,
                order=self._order,
                priority=request.priority,
                ready_at=now + transfer,
                prefill_left=request.prompt_tokens - request.imported_tokens,
                lease=request.lease_tokens,
                request=request,
            ),
            now,
        )

    def prepare_span(self, span: SpanRequest, now: float) -> None:
        """Compute and hold the KV cache of a span until its group's release.

        Raises
        ------
        OutOfMemoryError
            If the span does not fit into the free memory.
        DuplicateError
            If the span is in the engine.
        """
        self._take(
            Work(
                name=span.handle,
                order=self._order,
                priority=span.priority,
                ready_at=now + span.first_token / self.profile.transfer_rate,
                prefill_left=span.tokens,
                lease=span.tokens,
                span=span,
            ),
            now,
        )

    def cancel(self, request_id: RequestId, now: float) -> bool:
        """End a sequence and free its memory; False if it is not here."""
        work = self.memory.work.get(request_id)
        if work is None:
            return False
        self._drop(work, now)
        return True

    def release_group(self, group: GroupId, now: float) -> int:
        """Free all spans of a group; return how many tokens were freed."""
        held = [
            name
            for name, work in self.memory.work.items()
            if work.span is not None and work.span.group == group
        ]
        before = self.memory.leased_tokens
        for name in held:
            self._drop(self.memory.work[name], now)
        return before - self.memory.leased_tokens

    def spans(self) -> tuple[SpanRequest, ...]:
        """Return the spans that are held or being computed."""
        return tuple(
            work.span
            for work in self.memory.work.values()
            if work.span is not None
        )

    def sequences(self) -> dict[RequestId, int]:
        """Return the memory leased by each sequence, in tokens; exact."""
        return {
            work.request.request_id: work.lease
            for work in self.memory.work.values()
            if work.request is not None
        }

    def next_event(self) -> float:
        """Return when the step in progress ends; infinity when idle."""
        return self.step_ends

    def advance(self, until: float) -> list[StepResult]:
        """Run all steps that end by `until` and return what they brought."""
        results: list[StepResult] = []
        while self.step_ends <= until:
            results.append(self._end_step(self.step_ends))
        return results

    def load(self, now: float) -> EngineLoad:
        """Return the load as it is."""
        held = sum(1 for work in self.memory.work.values() if work.is_held_span)
        backlog = sum(work.prefill_left for work in self.memory.work.values())
        return EngineLoad(
            at=now,
            running=len(self.batch.members),
            waiting=len(self.memory.work) - len(self.batch.members) - held,
            backlog_tokens=backlog,
            used_tokens=self.memory.leased_tokens,
            capacity_tokens=self.profile.memory_tokens,
            step_seconds=self.gauge.step_seconds,
            prefill_rate=self.gauge.prefill_rate,
        )

    def lagged_load(self, now: float) -> EngineLoad:
        """Return the load as the engine publishes it: some time ago."""
        if self.gauge.due(now):
            self.gauge.record(self.load(now))
        return self.gauge.published(now)

    def events_after(self, number: int, now: float) -> list[CacheEvent]:
        """Return the cache events above `number` that are published by now."""
        horizon = now - self.profile.report_lag_seconds
        return self.memory.cache.events_after(number, horizon)

    def _take(self, work: Work, now: float) -> None:
        self.memory.lease(work, now)
        self._order += 1
        if not self._plan.chunks:
            self._begin_step(now)

    def _drop(self, work: Work, now: float) -> None:
        self.memory.release(work, now)
        self.batch.members.pop(work.name, None)
        work.prefill_left = 0

    def _begin_step(self, now: float) -> None:
        self.batch.fill(self.memory, self.profile.max_sequences, now)
        self._plan = self.batch.plan(self.profile)
        self.step_started = now
        if self._plan.chunks:
            self.step_ends = now + self._plan.seconds
            return
        self.step_ends = min(
            (
                work.ready_at
                for work in self.memory.work.values()
                if work.ready_at > now
            ),
            default=_NEVER,
        )

    def _end_step(self, now: float) -> StepResult:
        self._note_step(now)
        ready = self._plan.completed(self.memory.work)
        sequences = [work for work in ready if work.request is not None]
        spans = [work.name for work in ready if work.request is None]
        for sequence in sequences:
            self._generate(sequence, now)
        for handle in spans:
            self.batch.members.pop(handle)
        self._begin_step(now)
        return StepResult(
            now,
            tokens=_names(sequences),
            first=_names(seq for seq in sequences if seq.generated == 1),
            finished=_names(seq for seq in sequences if seq.is_complete),
            spans=tuple(spans),
        )

    def _generate(self, work: Work, now: float) -> None:
        if not work.generated:
            self.memory.keep_blocks(work, now)
        work.generated += 1
        if work.is_complete:
            self._drop(work, now)

    def _note_step(self, now: float) -> None:
        if self._plan.chunks:
            seconds = now - self.step_started
            self.gauge.note_step(seconds, self._plan.prefill_tokens)
        if self.gauge.due(now):
            self.gauge.record(self.load(now))


def _names(sequences: Iterable[Work]) -> tuple[RequestId, ...]:
    return tuple(RequestId(work.name) for work in sequences)
