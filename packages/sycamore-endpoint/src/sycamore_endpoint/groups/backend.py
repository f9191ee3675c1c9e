"""An engine that serves prompts beyond its memory with the help of others."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from sycamore_core.ids import EndpointId, RequestId
from sycamore_core.messages import Message, Offer
from sycamore_core.transport import Node

from ..backends import AnswerChunk, Backend, EngineBackend, StartGate
from ..errors import GroupUnavailableError
from ..state import EndpointState
from .leader import GroupRun, Groups
from .spans import divide


class GroupBackend(Backend):
    """Prepares the spans of a long prompt at the members, then generates."""

    def __init__(
        self,
        engine: EngineBackend,
        groups: Groups,
        state: EndpointState,
        node: Node,
    ) -> None:
        self.engine = engine
        self.groups = groups
        self.state = state
        self.node = node
        self._releases: set[asyncio.Task[None]] = set()

    async def stream_answer(
        self,
        offer: Offer,
        gate: StartGate,
        seconds: float,
    ) -> AsyncIterator[AnswerChunk]:
        """Run a request; see `Backend.stream_answer`."""
        if not offer.members:
            async with aclosing(
                self.engine.stream_answer(offer, gate, seconds),
            ) as alone:
                async for piece in alone:
                    yield piece
            return
        async with aclosing(self._together(offer, gate, seconds)) as together:
            async for piece in together:
                yield piece

    async def cancel(self, request_id: RequestId) -> bool:
        """Give a run up at the own engine."""
        return await self.engine.cancel(request_id)

    async def _together(
        self,
        offer: Offer,
        gate: StartGate,
        seconds: float,
    ) -> AsyncIterator[AnswerChunk]:
        group = self._begin(offer)
        keeping: asyncio.Task[None] | None = None
        try:
            handle = await group.prepare()
            keeping = asyncio.create_task(group.keep())
            async for piece in self._generate(group, gate, seconds, handle):
                yield piece
        finally:
            if keeping is not None:
                keeping.cancel()
            self._end(group)

    async def _generate(
        self,
        group: GroupRun,
        gate: StartGate,
        seconds: float,
        handle: str,
    ) -> AsyncIterator[AnswerChunk]:
        group.check()
        generating = self.engine.stream_answer(
            group.offer, gate, seconds, handle
        )
        async with aclosing(generating) as pieces:
            async for piece in pieces:
                group.check()
                yield piece

    def _begin(self, offer: Offer) -> GroupRun:
        own = self.state.own_settings
        if own is None:
            raise GroupUnavailableError('no settings')
        spans = divide(offer, own.fleet, own.endpoint)
        if not spans:
            raise GroupUnavailableError('a member is not in the settings')
        endpoints = own.fleet.endpoints
        self.groups.addresses = {
            entry.address: name for name, entry in endpoints.items()
        }
        group = GroupRun(offer, spans, self.state.clock, self._post)
        self.groups.runs[group.group] = group
        return group

    def _end(self, group: GroupRun) -> None:
        self.groups.runs.pop(group.group, None)
        task = asyncio.create_task(group.release())
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    def _post(self, endpoint: EndpointId, message: Message) -> None:
        own = self.state.own_settings
        if own is not None and endpoint in own.fleet.endpoints:
            address = own.fleet.endpoints[endpoint].address
            self.node.peer(address).post(message)
