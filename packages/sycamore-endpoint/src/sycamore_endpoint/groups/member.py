"""Member side of a group: memory leases and computation of spans."""

import asyncio
from typing import Any

import msgspec
from sycamore_core.errors import BackendError
from sycamore_core.ids import GroupId
from sycamore_core.messages import (
    GroupAnswer,
    GroupRelease,
    GroupRenew,
    GroupReserve,
    SpanDone,
    SpanRun,
)
from sycamore_core.states import EndpointPhase
from sycamore_core.telemetry import Log
from sycamore_core.transport import Peer

from ..backends.calls import ControlClient
from ..engine_watch import release_in_engine
from ..ledger import LeaseKey, LeaseKind, MemoryLedger
from ..state import EndpointState

#: Time after which the leader may ask a full member again, in seconds.
FULL_RETRY_SECONDS = 1.0
#: Timeout for the computation of one span, in seconds. A span has several
#: hundred thousand tokens, and an engine reads a few thousand tokens a second.
SPAN_TIMEOUT_SECONDS = 600.0
#: Number of released groups that are remembered, so that a duplicated
#: reservation that arrives late does not lease the memory again.
MAX_RELEASED_GROUPS = 1024


class SpanBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of ``POST /v1/spans``."""

    group: GroupId
    span: int
    first_token: int
    tokens: int
    imports: str | None = None
    source: str | None = None
    payload: bytes = b''


class SpanAnswer(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/spans``."""

    handle: str


class GroupMemberHandler:
    """Handle messages from the leaders of groups.

    A lease that its leader does not renew expires, and the engine is asked to
    free the memory. A crashed leader therefore leaks no memory.
    """

    def __init__(
        self,
        state: EndpointState,
        memory: MemoryLedger,
        control: ControlClient,
    ) -> None:
        self.state = state
        self.memory = memory
        self.control = control
        self.log = Log('endpoint.member')
        self.done: dict[LeaseKey, SpanDone] = {}
        self.released: dict[GroupId, None] = {}
        self._tasks: dict[LeaseKey, asyncio.Task[None]] = {}
        self._freeing: set[asyncio.Task[None]] = set()

    def reserve(self, message: GroupReserve, peer: Peer) -> None:
        """Lease memory for one span, or renew an existing lease."""
        key = LeaseKey(LeaseKind.SPAN, message.group, message.span)
        now = self.state.clock.monotonic()
        until = now + message.lease_seconds
        granted = self.memory.renew(key, until)
        if not granted and self._can_lease(message.group, key):
            granted = self.memory.acquire(key, message.tokens, until, now)
        answer = GroupAnswer(
            group=message.group,
            span=message.span,
            granted=granted,
            retry_after=0 if granted else FULL_RETRY_SECONDS,
            number=message.number,
        )
        peer.post(answer)

    def renew(self, message: GroupRenew, peer: Peer) -> None:
        """Renew the leases of a group."""
        until = self.state.clock.monotonic() + message.lease_seconds
        for key in self._keys_of(message.group):
            answer = GroupAnswer(
                group=message.group,
                span=key.span,
                granted=self.memory.renew(key, until),
                number=message.number,
            )
            peer.post(answer)

    def release(self, message: GroupRelease) -> None:
        """Release the leases of a group and have the engine free them."""
        self.released[message.group] = None
        while len(self.released) > MAX_RELEASED_GROUPS:
            self.released.pop(next(iter(self.released)))
        now = self.state.clock.monotonic()
        for key in self._keys_of(message.group):
            self.memory.begin_release(key, now)
            self.done.pop(key, None)
            task = self._tasks.pop(key, None)
            if task is not None:
                task.cancel()
        freeing = asyncio.create_task(self._free(message.group))
        self._freeing.add(freeing)
        freeing.add_done_callback(self._freeing.discard)

    def run(self, message: SpanRun, peer: Peer) -> None:
        """Compute a leased span; a repeated call gets the same result."""
        key = LeaseKey(LeaseKind.SPAN, message.group, message.span)
        done = self.done.get(key)
        if done is not None:
            peer.post(done)
            return
        lease = self.memory.leases.get(key)
        if lease is None or lease.releasing:
            peer.post(
                SpanDone(message.group, message.span, '', '', failed=True)
            )
            return
        if key not in self._tasks:
            task = asyncio.create_task(self._compute(key, message, peer))
            self._tasks[key] = task

    async def _free(self, group: GroupId) -> None:
        key = LeaseKey(LeaseKind.SPAN, group)
        try:
            await release_in_engine(self.control, key)
        except BackendError as error:
            # The release is requested again after each report of the engine.
            self.log.warning('release_failed', group=group, error=str(error))
            return
        now = self.state.clock.monotonic()
        for leased in self._keys_of(group):
            self.memory.release(leased, now)

    async def _compute(
        self, key: LeaseKey, message: SpanRun, peer: Peer
    ) -> None:
        done = await self._run_span(message)
        self._tasks.pop(key, None)
        if not done.failed and key in self.memory.leases:
            self.done[key] = done
        peer.post(done)

    async def _run_span(self, message: SpanRun) -> SpanDone:
        try:
            handle = await self._ask_engine(message)
        except BackendError as error:
            self.log.warning(
                'span_failed',
                group=message.group,
                span=message.span,
                error=str(error),
            )
            return SpanDone(message.group, message.span, '', '', failed=True)
        source = self.control.base_url
        return SpanDone(message.group, message.span, handle, source)

    async def _ask_engine(self, message: SpanRun) -> str:
        body: Any = SpanBody(
            group=message.group,
            span=message.span,
            first_token=message.first_token,
            tokens=message.tokens,
            imports=message.imports or None,
            source=message.source or None,
            payload=message.payload,
        )
        answer = await self.control.send(
            '/v1/spans',
            body,
            SpanAnswer,
            SPAN_TIMEOUT_SECONDS,
        )
        return answer.handle

    def _can_lease(self, group: GroupId, key: LeaseKey) -> bool:
        live = self.state.phase is EndpointPhase.LIVE
        unknown = key not in self.memory.leases
        return live and unknown and group not in self.released

    def _keys_of(self, group: GroupId) -> list[LeaseKey]:
        return [
            key
            for key in self.memory.leases
            if key.kind is LeaseKind.SPAN and key.name == group
        ]
