"""Carrying out accepted runs: one task for each."""

import asyncio
from contextlib import aclosing

from sycamore_core.errors import BackendError
from sycamore_core.ids import RequestId
from sycamore_core.states import Execution, Outcome, RefusalReason
from sycamore_core.telemetry import Log
from sycamore_core.transport import Node

from .admission import Admission
from .backends import Backend, Piece
from .errors import (
    BackendBusyError,
    GroupUnavailableError,
    NotStartedError,
)
from .ledger import LeaseKey, LeaseKind, MemoryLedger, RunLedger, RunRecord


class Runner:
    """Runs what the ledger has accepted and posts the answers.

    Parameters
    ----------
    runs, memory
        The ledgers; every change to them is made without a wait in between.
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
        self._room: dict[RequestId, asyncio.Event] = {}
        self._clearing: set[asyncio.Task[None]] = set()

    def launch(self, record: RunRecord) -> None:
        """Begin the task of an accepted run."""
        self._room[record.request_id] = asyncio.Event()
        task = asyncio.create_task(self._run(record))
        self.tasks[record.request_id] = task
        task.add_done_callback(lambda _: self._leave(record, task))

    def post_due(self, record: RunRecord) -> None:
        """Post the frames that the window allows to the owner."""
        answer, owner = record.answer, record.owner
        if answer is None or owner is None:
            return
        peer = self.node.peer(owner.address)
        for frame in answer.due():
            first_or_last = frame.sequence == 0 or frame.close is not None
            peer.post(frame, urgent=first_or_last)
        room = self._room.get(record.request_id)
        if room is not None and answer.has_room:
            room.set()

    def post_latest(self, record: RunRecord) -> None:
        """Post the last frame again if it was not acknowledged.

        What goes wrong: the last packets of a stream are lost, no later frame
        shows the gap, and the caller waits to its deadline for an answer that
        is whole here. The repeated frame shows the entry what it misses.
        """
        if record.answer is None or record.owner is None:
            return
        frame = record.answer.latest()
        if frame is not None:
            self.node.peer(record.owner.address).post(frame, urgent=False)

    def stop(self, record: RunRecord) -> None:
        """End the task of a run that the ledger has ended."""
        task = self.tasks.get(record.request_id)
        if task is not None:
            task.cancel()
        self.post_due(record)

    async def close(self) -> None:
        """End all tasks."""
        tasks = [*self.tasks.values(), *self._clearing]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, record: RunRecord) -> None:
        try:
            await self._answer(record)
        except BackendError as error:
            if isinstance(error, _NOT_RUN):
                self.runs.not_started(record)
            self._fail(record, error, _reason_of(error))
        self.post_due(record)

    async def _answer(self, record: RunRecord) -> None:
        offer = record.offer
        if offer is None:
            return
        pieces = self.backend.pieces(
            offer,
            lambda: self.admission.may_start(record),
            record.deadline - self.clock.monotonic(),
        )
        async with aclosing(pieces):
            async for piece in pieces:
                await self._hand_on(record, piece)
        self.runs.end(record, Outcome.COMPLETE)

    async def _hand_on(self, record: RunRecord, piece: Piece) -> None:
        answer = record.answer
        if answer is None:
            return
        answer.add(piece.payload, piece.tokens, piece.plain_reply)
        self.post_due(record)
        room = self._room[record.request_id]
        while not answer.has_room:
            room.clear()
            await room.wait()

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

    def _leave(self, record: RunRecord, task: 'asyncio.Task[None]') -> None:
        if self.tasks.get(record.request_id) is task:
            self.tasks.pop(record.request_id)
            self._room.pop(record.request_id, None)
        if not task.cancelled() and task.exception() is not None:
            self.log.error('run_task', error=repr(task.exception()))
            self.runs.end(
                record,
                Outcome.FAILED,
                RefusalReason.BACKEND_FAILED,
            )
            self.post_due(record)
        clearing = asyncio.create_task(self._clear(record))
        self._clearing.add(clearing)
        clearing.add_done_callback(self._clearing.discard)

    async def _clear(self, record: RunRecord) -> None:
        key = LeaseKey(LeaseKind.RUN, record.request_id)
        answer = record.answer
        whole = answer is not None and answer.closed and _is_whole(record)
        if whole or record.execution is Execution.NOT_RUN:
            self.memory.release(key, self.clock.monotonic())
            return
        self.memory.give_up(key, self.clock.monotonic())
        if await self.backend.cancel(record.request_id):
            self.memory.release(key, self.clock.monotonic())


def _is_whole(record: RunRecord) -> bool:
    answer = record.answer
    if answer is None or not answer.closed:
        return False
    close = answer.frames[-1].close
    return close is not None and close.outcome is Outcome.COMPLETE


_NOT_RUN = (NotStartedError, BackendBusyError)


def _reason_of(error: BackendError) -> RefusalReason:
    if isinstance(error, GroupUnavailableError):
        return RefusalReason.GROUP_UNAVAILABLE
    if isinstance(error, BackendBusyError):
        return RefusalReason.MEMORY_FULL
    return RefusalReason.BACKEND_FAILED
