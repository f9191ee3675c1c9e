"""Memory that engines set aside for parts of a prompt beyond one engine.

What goes wrong: an entry dies, or forgets, and memory stays set aside that
nobody uses. Reservations are therefore leases that are shorter than the time
within which memory must be free again, renewed while the request runs, and
given back in every ending.
"""

import asyncio
import secrets

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.routing import EndpointRecord
from tornado.httputil import HTTPHeaders, RequestStartLine

from ..context import ForwardingContext
from ..errors import AttemptError
from ..placement.dispatcher import Placement
from ..wire import AnswerHead, Helper, Order
from .channel import EndpointChannel
from .hearing import AnswerHearing

#: Length of a lease, in seconds. Memory has to be free four seconds after its
#: request, also when the entry that reserved it is gone.
HOLD_SECONDS = 3.6
#: Time between renewals, in seconds: two may be lost.
RENEW_SECONDS = 1.2
#: Time for an order's answer, in seconds.
ORDER_SECONDS = 0.5
#: Tries to give memory back; the lease ends by itself after them.
_RELEASE_TRIES = 3
_NAME_BYTES = 6
_HTTP_OK = 200


class Reservations:
    """The memory that is set aside for one attempt.

    Attributes
    ----------
    made
        Helpers at which memory is set aside, with its id.
    """

    def __init__(
        self,
        context: ForwardingContext,
        placement: Placement,
    ) -> None:
        self.context = context
        self.placement = placement
        self.hearing = AnswerHearing(context)
        self.made: tuple[Helper, ...] = ()
        self._name = secrets.token_hex(_NAME_BYTES)
        self._asked: list[tuple[EndpointRecord, int]] = []
        self._renewing: asyncio.Task[None] | None = None

    async def make(self) -> None:
        """Set the memory aside.

        Raises
        ------
        AttemptError
            If an engine does not do so.
        """
        by_name = {one.endpoint: one for one in self.placement.helpers}
        self._asked = [
            (by_name[name], tokens)
            for name, tokens in self.placement.plan.stored
        ]
        if not all(await self._reserve_all()):
            raise AttemptError(AttemptEnd.NOT_SENT, 'memory not set aside')
        self.made = tuple(
            Helper(record.address, self._name) for record, _ in self._asked
        )
        self._renewing = asyncio.create_task(self._renew())

    def release(self) -> None:
        """Give the memory back, in a task of its own."""
        if self._renewing is not None:
            self._renewing.cancel()
        order = self.context.wire.release(self._name)
        for record, _ in self._asked:
            task = asyncio.create_task(self._release(record, order))
            self.context.background.add(task)
            task.add_done_callback(self.context.background.discard)

    async def _reserve_all(self) -> list[bool]:
        return await asyncio.gather(
            *(self._reserve(record, tokens) for record, tokens in self._asked),
        )

    async def _reserve(self, record: EndpointRecord, tokens: int) -> bool:
        order = self.context.wire.reserve(self._name, tokens, HOLD_SECONDS)
        return await self._send(record, order) == _HTTP_OK

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            await self._reserve_all()

    async def _release(self, record: EndpointRecord, order: Order) -> None:
        for _ in range(_RELEASE_TRIES):
            if await self._send(record, order) == _HTTP_OK:
                return
        self.context.log.warning(
            'memory_not_released',
            endpoint=record.endpoint,
            reservation=self._name,
        )

    async def _send(self, record: EndpointRecord, order: Order) -> int:
        """Return the status of the answer; 0 if there was none."""
        headers = HTTPHeaders(
            {
                'Host': record.address,
                'Content-Type': 'application/json',
                'Content-Length': str(len(order.body)),
            },
        )
        start = RequestStartLine('POST', order.path, 'HTTP/1.1')
        self.context.dispatcher.order_sent(record)
        try:
            async with asyncio.timeout(ORDER_SECONDS):
                channel = await self.context.pool.take(record, fresh=False)
                head = await _ask(channel, start, headers, order.body)
        except (AttemptError, TimeoutError) as error:
            self.context.log.info(
                'order_unanswered',
                endpoint=record.endpoint,
                reason=str(error),
            )
            return 0
        self.hearing.order_answered(record, head)
        return head.status


async def _ask(
    channel: EndpointChannel,
    start: RequestStartLine,
    headers: HTTPHeaders,
    body: bytes,
) -> AnswerHead:
    try:
        channel.send(start, headers, body, '')
        return await channel.read_head()
    finally:
        channel.close()
