"""The member's side of a group: leases on memory, and spans to compute."""

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

#: When to ask a member again that is full, in seconds.
FULL_RETRY_SECONDS = 1.0
#: Longest that an engine may take for one span, in seconds: a span of some
#: hundred thousand tokens at a few thousand tokens a second.
SPAN_SECONDS = 600.0
#: Groups whose release is remembered, so that a reservation that was repeated
#: on the way does not take the memory again.
RELEASED_GROUPS = 1024


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


class GroupMemberDesk:
    """Answers the leaders of groups.

    A lease that its leader does not renew is given up by itself, and the
    engine is made to free it, so the death of a leader leaks nothing.
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

    def reserve(self, wanted: GroupReserve, peer: Peer) -> None:
        """Lease memory for one span, or renew a lease that is there."""
        key = LeaseKey(LeaseKind.SPAN, wanted.group, wanted.span)
        now = self.state.clock.monotonic()
        until = now + wanted.lease_seconds
        granted = self.memory.renew(key, until)
        if not granted and self._is_open(wanted.group, key):
            granted = self.memory.take(key, wanted.tokens, until, now)
        answer = GroupAnswer(
            group=wanted.group,
            span=wanted.span,
            granted=granted,
            retry_after=0 if granted else FULL_RETRY_SECONDS,
            number=wanted.number,
        )
        peer.post(answer)

    def renew(self, wanted: GroupRenew, peer: Peer) -> None:
        """Keep the leases of a group."""
        until = self.state.clock.monotonic() + wanted.lease_seconds
        for key in self._keys_of(wanted.group):
            answer = GroupAnswer(
                group=wanted.group,
                span=key.span,
                granted=self.memory.renew(key, until),
                number=wanted.number,
            )
            peer.post(answer)

    def release(self, wanted: GroupRelease) -> None:
        """Give up the leases of a group; the engine is made to free them."""
        self.released[wanted.group] = None
        while len(self.released) > RELEASED_GROUPS:
            self.released.pop(next(iter(self.released)))
        now = self.state.clock.monotonic()
        for key in self._keys_of(wanted.group):
            self.memory.give_up(key, now)
            self.done.pop(key, None)
            task = self._tasks.pop(key, None)
            if task is not None:
                task.cancel()
        freeing = asyncio.create_task(self._free(wanted.group))
        self._freeing.add(freeing)
        freeing.add_done_callback(self._freeing.discard)

    def run(self, wanted: SpanRun, peer: Peer) -> None:
        """Compute a span that is leased; a repeated call is answered again."""
        key = LeaseKey(LeaseKind.SPAN, wanted.group, wanted.span)
        done = self.done.get(key)
        if done is not None:
            peer.post(done)
            return
        lease = self.memory.leases.get(key)
        if lease is None or lease.releasing:
            peer.post(SpanDone(wanted.group, wanted.span, '', '', failed=True))
            return
        if key not in self._tasks:
            task = asyncio.create_task(self._compute(key, wanted, peer))
            self._tasks[key] = task

    async def _free(self, group: GroupId) -> None:
        key = LeaseKey(LeaseKind.SPAN, group)
        try:
            await release_in_engine(self.control, key)
        except BackendError as error:
            # The engine is asked again after each of its reports.
            self.log.warning('release_failed', group=group, error=str(error))
            return
        now = self.state.clock.monotonic()
        for held in self._keys_of(group):
            self.memory.release(held, now)

    async def _compute(
        self, key: LeaseKey, wanted: SpanRun, peer: Peer
    ) -> None:
        done = await self._computed(wanted)
        self._tasks.pop(key, None)
        if not done.failed and key in self.memory.leases:
            self.done[key] = done
        peer.post(done)

    async def _computed(self, wanted: SpanRun) -> SpanDone:
        try:
            handle = await self._ask_engine(wanted)
        except BackendError as error:
            self.log.warning(
                'span_failed',
                group=wanted.group,
                span=wanted.span,
                error=str(error),
            )
            return SpanDone(wanted.group, wanted.span, '', '', failed=True)
        source = self.control.base_url
        return SpanDone(wanted.group, wanted.span, handle, source)

    async def _ask_engine(self, wanted: SpanRun) -> str:
        body: Any = SpanBody(
            group=wanted.group,
            span=wanted.span,
            first_token=wanted.first_token,
            tokens=wanted.tokens,
            imports=wanted.imports or None,
            source=wanted.source or None,
            payload=wanted.payload,
        )
        answer = await self.control.send(
            '/v1/spans',
            body,
            SpanAnswer,
            SPAN_SECONDS,
        )
        return answer.handle

    def _is_open(self, group: GroupId, key: LeaseKey) -> bool:
        live = self.state.phase is EndpointPhase.LIVE
        unknown = key not in self.memory.leases
        return live and unknown and group not in self.released

    def _keys_of(self, group: GroupId) -> list[LeaseKey]:
        return [
            key
            for key in self.memory.leases
            if key.kind is LeaseKind.SPAN and key.name == group
        ]
