"""Memory reservations at the helpers of a request.

If an entry dies or fails to release a reservation, memory would stay reserved
without use. Reservations are therefore leases. A lease is shorter than the time
within which memory must be free again. It is renewed while the request runs and
released however the request ends.
"""

import asyncio
import secrets

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.ids import EndpointId
from sycamore_core.routing import EndpointRecord
from sycamore_core.tasks import start_running
from tornado.httputil import HTTPHeaders, RequestStartLine

from ..context import ForwardingContext
from ..errors import AttemptError
from ..placement.dispatcher import Placement
from ..wire import AnswerHead, Helper, Order
from .answer_observer import AnswerObserver
from .channel import EndpointChannel
from .time_limit import run_within

#: Length of a lease, in seconds. Memory must be free four seconds after the end
#: of its request, even if the entry that reserved it is gone.
LEASE_SECONDS = 3.6
#: Interval of renewals, in seconds; two renewals in a row may be lost.
RENEW_SECONDS = 1.2
#: Timeout for the answer to an order, in seconds.
ORDER_TIMEOUT_SECONDS = 0.5
#: Attempts to release memory; after them, the lease expires by itself.
_RELEASE_ATTEMPTS = 3
_ID_BYTES = 6
_HTTP_OK = 200


class Reservations:
    """The memory reservations of one attempt.

    Attributes
    ----------
    granted
        Helpers that have reserved memory, with the id of the reservation.
    """

    def __init__(
        self,
        context: ForwardingContext,
        placement: Placement,
    ) -> None:
        self.context = context
        self.placement = placement
        self.observer = AnswerObserver(context)
        self.granted: tuple[Helper, ...] = ()
        self._reservation_id = secrets.token_hex(_ID_BYTES)
        self._requested: list[tuple[EndpointRecord, int]] = []
        self._not_sent: set[EndpointId] = set()
        self._renewal: asyncio.Task[None] | None = None

    async def acquire(self) -> None:
        """Reserve the memory at all helpers.

        Raises
        ------
        AttemptError
            If a helper does not reserve it, or its zone is evacuated.
        """
        check_helpers(self.context, self.placement)
        helpers = {one.endpoint: one for one in self.placement.helpers}
        self._requested = [
            (helpers[name], tokens)
            for name, tokens in self.placement.plan.helper_tokens
        ]
        if not all(await self._reserve_all(is_new=True)):
            check_helpers(self.context, self.placement)
            raise AttemptError(
                AttemptEnd.NOT_SENT,
                'a helper did not reserve memory',
            )
        self.granted = tuple(
            Helper(record.address, self._reservation_id)
            for record, _ in self._requested
        )
        self._renewal = start_running(self._renew, 'renew', self.context.log)

    def release(self) -> None:
        """Release the memory in background tasks.

        Another instance at the address of an ended helper gets no order.
        """
        if self._renewal is not None:
            self._renewal.cancel()
        order = self.context.wire.release(self._reservation_id)
        ended = self.context.keeper.ended
        for record, _ in self._requested:
            is_unsent = record.endpoint in self._not_sent
            if is_unsent or ended.is_replaced(record.lifetime):
                continue
            task = asyncio.create_task(self._release(record, order))
            self.context.background.add(task)
            task.add_done_callback(self.context.background.discard)

    async def _reserve_all(self, *, is_new: bool) -> list[bool]:
        return await asyncio.gather(
            *(
                self._reserve(record, tokens, is_new=is_new)
                for record, tokens in self._requested
            ),
        )

    async def _reserve(
        self, record: EndpointRecord, tokens: int, *, is_new: bool
    ) -> bool:
        order = self.context.wire.reserve(
            self._reservation_id,
            tokens,
            LEASE_SECONDS,
        )
        status = await self._send(record, order, is_new=is_new)
        return status == _HTTP_OK

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            await self._reserve_all(is_new=False)

    async def _release(self, record: EndpointRecord, order: Order) -> None:
        for _ in range(_RELEASE_ATTEMPTS):
            if await self._send(record, order) == _HTTP_OK:
                return
        self.context.log.warning(
            'memory_not_released',
            endpoint=record.endpoint,
            reservation=self._reservation_id,
        )

    async def _send(
        self,
        record: EndpointRecord,
        order: Order,
        *,
        is_new: bool = False,
    ) -> int:
        """Send an order; return the status of the answer, 0 without one.

        Parameters
        ----------
        is_new
            Whether the order begins a reservation. It is then not sent to a
            zone that is evacuated while the connection is opened; renewals
            and releases are sent, since the request may be running.
        """
        self.context.dispatcher.record_order(record)
        asking = self._ask(record, order, is_new=is_new)
        try:
            head = await run_within(asking, ORDER_TIMEOUT_SECONDS)
        except (AttemptError, TimeoutError) as error:
            self.context.log.info(
                'order_unanswered',
                endpoint=record.endpoint,
                reason=str(error),
            )
            return 0
        if head is None:
            self._not_sent.add(record.endpoint)
            return 0
        self.observer.observe_order_answer(record, head)
        return head.status

    async def _ask(
        self, record: EndpointRecord, order: Order, *, is_new: bool
    ) -> AnswerHead | None:
        """Return the head of the answer to an order; None if it is not sent."""
        channel = await self.context.pool.acquire(record, fresh=False)
        if is_new and self._is_evacuated(record):
            channel.close()
            return None
        headers = HTTPHeaders(
            {
                'Host': record.address,
                'Content-Type': 'application/json',
                'Content-Length': str(len(order.body)),
            },
        )
        start = RequestStartLine('POST', order.path, 'HTTP/1.1')
        return await _request_head(channel, start, headers, order.body)

    def _is_evacuated(self, record: EndpointRecord) -> bool:
        return self.context.dispatcher.candidates.is_evacuated(record)


def check_helpers(context: ForwardingContext, placement: Placement) -> None:
    """Check that the zones of all helpers are in use.

    Raises
    ------
    AttemptError
        If the zone of a helper is evacuated. It names the helper, so that the
        next attempt may use the same primary endpoint.
    """
    candidates = context.dispatcher.candidates
    for record in placement.helpers:
        if candidates.is_evacuated(record):
            raise AttemptError(
                AttemptEnd.NOT_ACCEPTING,
                'the zone of a helper is evacuated',
                record.address,
            )


async def _request_head(
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
