"""Backend for prompts that need the memory of several engines."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from sycamore_core.ids import EndpointId, RequestId
from sycamore_core.messages import Message, Offer
from sycamore_core.transport import Node

from ..backends import AnswerChunk, Backend, EngineBackend, StartGate
from ..errors import GroupUnavailableError
from ..state import EndpointState
from .leader import GroupRun, LedGroups
from .spans import split_prompt


class GroupBackend(Backend):
    """Prepare the spans of a long prompt at the members, then generate."""

    def __init__(
        self,
        engine: EngineBackend,
        groups: LedGroups,
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
            ) as own_pieces:
                async for piece in own_pieces:
                    yield piece
            return
        async with aclosing(
            self._run_group(offer, gate, seconds)
        ) as group_pieces:
            async for piece in group_pieces:
                yield piece

    async def cancel(self, request_id: RequestId) -> bool:
        """Cancel a run at the own engine."""
        return await self.engine.cancel(request_id)

    async def _run_group(
        self,
        offer: Offer,
        gate: StartGate,
        seconds: float,
    ) -> AsyncIterator[AnswerChunk]:
        group = self._start_group(offer)
        renewal: asyncio.Task[None] | None = None
        try:
            handle = await group.prepare()
            renewal = asyncio.create_task(group.renew_leases())
            async for piece in self._generate(group, gate, seconds, handle):
                yield piece
        finally:
            if renewal is not None:
                renewal.cancel()
            self._end_group(group)

    async def _generate(
        self,
        group: GroupRun,
        gate: StartGate,
        seconds: float,
        handle: str,
    ) -> AsyncIterator[AnswerChunk]:
        group.check_leases()
        generating = self.engine.stream_answer(
            group.offer, gate, seconds, handle
        )
        async with aclosing(generating) as pieces:
            async for piece in pieces:
                group.check_leases()
                yield piece

    def _start_group(self, offer: Offer) -> GroupRun:
        own = self.state.own_settings
        if own is None:
            raise GroupUnavailableError('no settings are loaded')
        spans = split_prompt(offer, own.fleet, own.endpoint)
        if not spans:
            raise GroupUnavailableError('a member is not in the settings')
        endpoints = own.fleet.endpoints
        self.groups.addresses = {
            endpoint.address: name for name, endpoint in endpoints.items()
        }
        group = GroupRun(offer, spans, self.state.clock, self._post)
        self.groups.runs[group.group_id] = group
        return group

    def _end_group(self, group: GroupRun) -> None:
        self.groups.runs.pop(group.group_id, None)
        task = asyncio.create_task(group.release())
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    def _post(self, endpoint: EndpointId, message: Message) -> None:
        own = self.state.own_settings
        if own is not None and endpoint in own.fleet.endpoints:
            address = own.fleet.endpoints[endpoint].address
            self.node.peer(address).post(message)
