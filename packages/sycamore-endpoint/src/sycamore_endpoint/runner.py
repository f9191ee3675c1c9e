"""Execution of accepted runs, one task for each run."""

import asyncio
from contextlib import aclosing

from sycamore_core.errors import BackendError
from sycamore_core.ids import RequestId
from sycamore_core.states import Execution, Outcome, RefusalReason
from sycamore_core.tasks import CANCEL_SECONDS, cancel_all
from sycamore_core.telemetry import Log, error_fields
from sycamore_core.transport import Node

from .admission import Admission
from .backends import AnswerChunk, Backend
from .errors import (
    BackendBusyError,
    GroupUnavailableError,
    NotStartedError,
)
from .ledger import LeaseKey, LeaseKind, MemoryLedger, RunLedger, RunRecord


class Runner:
    """Executes the accepted runs of the ledger and sends their answers.

    Parameters
    ----------
    runs, memory
        The ledgers. Each change to them is made without a suspension point.
    node
        Sends the frames.
    """

    def __init__(
        self,
        runs: RunLedger,
        memory: MemoryLedger,
        backend: Backend,
        node: Node,
        admission: Admission,
    ) -> None:
        self.runs = runs
        self.memory = memory
        self.backend = backend
        self.node = node
        self.admission = admission
        self.clock = admission.state.clock
        self.log = Log('endpoint.run')
        self.tasks: dict[RequestId, asyncio.Task[None]] = {}
        self._window_events: dict[RequestId, asyncio.Event] = {}
        self._cleanup_tasks: set[asyncio.Task[None]] = set()

    def launch(self, record: RunRecord) -> None:
        """Start the task of an accepted run."""
        self._window_events[record.request_id] = asyncio.Event()
        task = asyncio.create_task(self._run(record))
        self.tasks[record.request_id] = task
        task.add_done_callback(lambda _: self._on_task_done(record, task))

    def post_due(self, record: RunRecord) -> None:
        """Send to the owner the frames that its window allows."""
        answer, owner = record.answer, record.owner
        if answer is None or owner is None:
            return
        peer = self.node.peer(owner.address)
        for frame in answer.next_frames():
            first_or_last = frame.sequence == 0 or frame.close is not None
            peer.post(frame, urgent=first_or_last)
        window_open = self._window_events.get(record.request_id)
        if window_open is not None and answer.has_capacity:
            window_open.set()

    def post_latest(self, record: RunRecord) -> None:
        """Resend the last frame if it was not acknowledged.

        If the last packets of a stream are lost, no later frame reveals the
        gap. Without the resent frame, the caller would wait until its deadline
        for an answer that is complete here.
        """
        if record.answer is None or record.owner is None:
            return
        frame = record.answer.last_unacknowledged()
        if frame is not None:
            self.node.peer(record.owner.address).post(frame, urgent=False)

    def stop(self, record: RunRecord) -> None:
        """Cancel the task of a run that has ended in the ledger."""
        task = self.tasks.get(record.request_id)
        if task is not None:
            task.cancel()
        self.post_due(record)

    def end_all(self) -> None:
        """End all runs, because the process ends, and tell their entries.

        The back end may complete what it was asked to do.
        """
        for record in self.runs.in_progress():
            self.runs.end(record, Outcome.FAILED, RefusalReason.OUTCOME_UNKNOWN)
            self.stop(record)

    async def close(self) -> None:
        """Cancel all tasks and wait for their end, for a bounded time."""
        tasks = (*self.tasks.values(), *self._cleanup_tasks)
        await cancel_all(tasks, CANCEL_SECONDS, self.log)

    async def _run(self, record: RunRecord) -> None:
        try:
            await self._stream_answer(record)
        except BackendError as error:
            if isinstance(error, _NOT_RUN_ERRORS):
                self.runs.record_not_started(record)
            self._fail(record, error, _refusal_reason(error))
        self.post_due(record)

    async def _stream_answer(self, record: RunRecord) -> None:
        offer = record.offer
        if offer is None:
            return
        chunks = self.backend.stream_answer(
            offer,
            lambda: self.admission.may_start(record),
            record.deadline - self.clock.monotonic(),
        )
        async with aclosing(chunks):
            async for chunk in chunks:
                await self._forward(record, chunk)
        self.runs.end(record, Outcome.COMPLETE)

    async def _forward(self, record: RunRecord, chunk: AnswerChunk) -> None:
        answer = record.answer
        if answer is None:
            return
        answer.add(chunk.payload, chunk.tokens, chunk.plain_reply)
        self.post_due(record)
        window_open = self._window_events[record.request_id]
        while not answer.has_capacity:
            window_open.clear()
            await window_open.wait()

    def _fail(
        self,
        record: RunRecord,
        error: BackendError,
        reason: RefusalReason,
    ) -> None:
        self.log.warning(
            'run_failed',
            request_id=record.request_id,
            reason=reason.value,
            error=str(error),
        )
        self.runs.end(record, Outcome.FAILED, reason)

    def _on_task_done(
        self, record: RunRecord, task: 'asyncio.Task[None]'
    ) -> None:
        if self.tasks.get(record.request_id) is task:
            self.tasks.pop(record.request_id)
            self._window_events.pop(record.request_id, None)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.log.error('run_task', **error_fields(error))
            self.runs.end(
                record,
                Outcome.FAILED,
                RefusalReason.BACKEND_FAILED,
            )
            self.post_due(record)
        cleanup = asyncio.create_task(self._release_memory(record))
        self._cleanup_tasks.add(cleanup)
        cleanup.add_done_callback(self._cleanup_tasks.discard)

    async def _release_memory(self, record: RunRecord) -> None:
        key = LeaseKey(LeaseKind.RUN, record.request_id)
        answer = record.answer
        complete = (
            answer is not None and answer.is_closed and _is_complete(record)
        )
        if complete or record.execution is Execution.NOT_RUN:
            self.memory.release(key, self.clock.monotonic())
            return
        self.memory.begin_release(key, self.clock.monotonic())
        if await self.backend.cancel(record.request_id):
            self.memory.release(key, self.clock.monotonic())


def _is_complete(record: RunRecord) -> bool:
    answer = record.answer
    if answer is None or not answer.is_closed:
        return False
    close = answer.frames[-1].close
    return close is not None and close.outcome is Outcome.COMPLETE


_NOT_RUN_ERRORS = (NotStartedError, BackendBusyError)


def _refusal_reason(error: BackendError) -> RefusalReason:
    if isinstance(error, GroupUnavailableError):
        return RefusalReason.GROUP_UNAVAILABLE
    if isinstance(error, BackendBusyError):
        return RefusalReason.MEMORY_FULL
    return RefusalReason.BACKEND_FAILED
