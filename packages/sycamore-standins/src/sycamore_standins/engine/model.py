"""A pure model of a model engine: no network, no clock, no hidden randomness.

It batches continuously, computes prompts in chunks by priority, caches prefixes
in limited memory and holds spans of prompts that are longer than its memory.

How to drive it::

    model = EngineModel(EngineProfile(), draw)
    model.submit(SequenceRequest(...), now)     # OutOfMemoryError, DuplicateError
    model.prepare_span(SpanRequest(...), now)   # handle comes in StepResult.spans
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

from collections import deque
from collections.abc import Callable

from sycamore_core.errors import BackendError
from sycamore_core.ids import GroupId, RequestId

from .prefix_cache import CacheEvent, PrefixCache
from .profile import EngineProfile
from .sequences import (
    EngineLoad,
    SequenceRequest,
    SpanRequest,
    StepResult,
    Work,
)

#: Weight of the last step in the averages that the engine reports.
_SMOOTHING = 0.2
#: Snapshots kept within the report's lag, so that its age is right to a tenth.
_SNAPSHOTS_PER_LAG = 10
_NEVER = float('inf')


class EngineError(BackendError):
    """The engine model refuses what it was asked."""


class OutOfMemoryError(EngineError):
    """The engine has no memory left for a sequence or a span."""


class DuplicateError(EngineError):
    """A request with the same id is in the engine."""


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
        self.cache = PrefixCache(
            profile.block_tokens,
            profile.event_loss,
            draw,
        )
        self.work: dict[str, Work] = {}
        self.batch: dict[str, Work] = {}
        self.leased_tokens = 0
        self.step_seconds: float = 0
        self.prefill_rate: float = 0
        self.step_started: float = 0
        self.step_ends = _NEVER
        self._plan: list[tuple[Work, int]] = []
        self._order = 0
        self._snapshots: deque[EngineLoad] = deque()

    @property
    def free_tokens(self) -> int:
        """Memory that is not leased, in tokens."""
        return self.profile.memory_tokens - self.leased_tokens

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
        work = self.work.get(request_id)
        if work is None:
            return False
        self._drop(work, now)
        return True

    def release_group(self, group: GroupId, now: float) -> int:
        """Free all spans of a group; return how many tokens were freed."""
        held = [
            work
            for work in self.work.values()
            if work.span is not None and work.span.group == group
        ]
        for work in held:
            self._drop(work, now)
        return sum(work.lease for work in held)

    def spans(self) -> tuple[SpanRequest, ...]:
        """Return the spans that are held or being computed."""
        return tuple(
            work.span for work in self.work.values() if work.span is not None
        )

    def sequences(self) -> dict[RequestId, int]:
        """Return the memory leased by each sequence, in tokens; exact."""
        return {
            work.request.request_id: work.lease
            for work in self.work.values()
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
        waiting = sum(
            1 for work in self.work.values() if work.name not in self.batch
        )
        return EngineLoad(
            at=now,
            running=len(self.batch),
            waiting=waiting - self._held_spans(),
            backlog_tokens=sum(w.prefill_left for w in self.work.values()),
            used_tokens=self.leased_tokens,
            capacity_tokens=self.profile.memory_tokens,
            step_seconds=self.step_seconds,
            prefill_rate=self.prefill_rate,
        )

    def lagged_load(self, now: float) -> EngineLoad:
        """Return the load as the engine publishes it: some time ago."""
        self._note_load(now)
        known = self._snapshots[0]
        while self._snapshots and self._snapshots[0].at <= self._horizon(now):
            known = self._snapshots.popleft()
        self._snapshots.appendleft(known)
        return known

    def events_after(self, number: int, now: float) -> list[CacheEvent]:
        """Return the cache events above `number` that are published by now."""
        return self.cache.events_after(number, self._horizon(now))

    def _horizon(self, now: float) -> float:
        return now - self.profile.report_lag_seconds

    def _held_spans(self) -> int:
        return sum(
            1
            for work in self.work.values()
            if work.span is not None and not work.prefill_left
        )

    def _take(self, work: Work, now: float) -> None:
        if work.name in self.work:
            raise DuplicateError(work.name)
        if work.lease > self.free_tokens:
            raise OutOfMemoryError(
                f'{work.lease} tokens wanted, {self.free_tokens} free',
            )
        self._order += 1
        self.leased_tokens += work.lease
        self.cache.shrink(self.free_tokens, now)
        self.work[work.name] = work
        if not self._plan:
            self._begin_step(now)

    def _drop(self, work: Work, now: float) -> None:
        self.work.pop(work.name)
        self.batch.pop(work.name, None)
        self.leased_tokens -= work.lease
        if work.request is not None and work.pinned:
            self.cache.unpin(work.request.blocks[: work.pinned])
        self.cache.shrink(self.free_tokens, now)
        work.prefill_left = 0

    def _begin_step(self, now: float) -> None:
        self._fill_batch(now)
        self._plan = self._planned(now)
        self.step_started = now
        if self._plan:
            self.step_ends = now + self._duration()
        else:
            self.step_ends = min(
                (w.ready_at for w in self.work.values() if w.ready_at > now),
                default=_NEVER,
            )

    def _fill_batch(self, now: float) -> None:
        room = self.profile.max_sequences - len(self.batch)
        if room <= 0 or len(self.work) == len(self.batch):
            return
        candidates = [
            work
            for work in self.work.values()
            if work.name not in self.batch
            and work.ready_at <= now
            and not (work.span is not None and not work.prefill_left)
        ]
        candidates.sort(key=lambda work: work.rank)
        for work in candidates[:room]:
            self._look_up(work, now)
            self.batch[work.name] = work

    def _look_up(self, work: Work, now: float) -> None:
        if work.request is None or work.looked_up:
            return
        work.looked_up = True
        matched = self.cache.matched_tokens(work.request.blocks)
        work.prefill_left = max(work.prefill_left - matched, 1)
        work.pinned = matched // self.profile.block_tokens
        self.cache.pin(work.request.blocks[: work.pinned], now)

    def _planned(self, now: float) -> list[tuple[Work, int]]:
        plan = [
            (work, 0) for work in self.batch.values() if not work.prefill_left
        ]
        prefilling = sorted(
            (work for work in self.batch.values() if work.prefill_left),
            key=lambda work: work.rank,
        )
        room = self.profile.prefill_chunk_tokens
        for work in prefilling:
            chunk = min(room, work.prefill_left)
            if chunk:
                plan.append((work, chunk))
            room -= chunk
        return plan

    def _duration(self) -> float:
        prefill = sum(chunk for _, chunk in self._plan)
        decoding = sum(1 for _, chunk in self._plan if not chunk)
        profile = self.profile
        steps = profile.step_base_seconds
        steps += profile.step_slope_seconds * decoding
        return steps + prefill / profile.prefill_rate

    def _end_step(self, now: float) -> StepResult:
        plan = self._plan
        self._note_speed(plan, now)
        tokens: list[RequestId] = []
        first: list[RequestId] = []
        finished: list[RequestId] = []
        spans: list[str] = []
        for work, chunk in plan:
            if self.work.get(work.name) is not work:
                continue
            work.prefill_left -= chunk
            if work.prefill_left:
                continue
            if work.request is None:
                self.batch.pop(work.name)
                spans.append(work.name)
                continue
            self._generate(work, now)
            tokens.append(work.request.request_id)
            if work.generated == 1:
                first.append(work.request.request_id)
            if work.name not in self.work:
                finished.append(work.request.request_id)
        self._begin_step(now)
        return StepResult(
            now,
            tuple(tokens),
            tuple(first),
            tuple(finished),
            tuple(spans),
        )

    def _generate(self, work: Work, now: float) -> None:
        request = work.request
        if request is None:
            return
        if not work.generated:
            self.cache.pin(request.blocks[work.pinned :], now)
            work.pinned = len(request.blocks)
        work.generated += 1
        if work.generated >= request.length:
            self._drop(work, now)

    def _note_speed(self, plan: list[tuple[Work, int]], now: float) -> None:
        if not plan:
            return
        seconds = now - self.step_started
        prefill = sum(chunk for _, chunk in plan)
        self.step_seconds = _smoothed(self.step_seconds, seconds)
        if prefill:
            self.prefill_rate = _smoothed(self.prefill_rate, prefill / seconds)
        self._note_load(now)

    def _note_load(self, now: float) -> None:
        interval = self.profile.report_lag_seconds / _SNAPSHOTS_PER_LAG
        if self._snapshots and now < self._snapshots[-1].at + interval:
            return
        self._snapshots.append(self.load(now))
        horizon = self._horizon(now)
        while len(self._snapshots) > 1 and self._snapshots[1].at <= horizon:
            self._snapshots.popleft()


def _smoothed(average: float, sample: float) -> float:
    if not average:
        return sample
    return average + _SMOOTHING * (sample - average)
