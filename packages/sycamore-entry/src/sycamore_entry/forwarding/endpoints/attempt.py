"""One attempt: a request is sent to an endpoint and its answer relayed."""

import asyncio

from sycamore_core.decisions.direct import (
    Assignment,
    AttemptEnd,
    assignments_of,
)
from sycamore_core.ids import EndpointId

from ..errors import AttemptError
from ..placement.placing import read_request
from ..wire import AnswerHead, Helper, OutgoingTerms
from .channel import EndpointChannel
from .hearing import AnswerHearing
from .relay import AnswerRelay
from .reservations import Reservations
from .silence import SilenceWatch

#: Ranks that an endpoint's queue knows.
_LAST_RANK = 9
#: Rank of an ordinary short turn, which is read before longer prompts.
_SHORT_RANK = 3
_LONG_RANK = 5
#: Least time that an endpoint is told, in seconds; the wire's unit.
_LEAST_SECONDS = 0.001


class Attempt:
    """One request at one endpoint, and at those that help it.

    Parameters
    ----------
    watch
        Ends the attempt if the endpoint is silent for too long; it names the
        request and the endpoint.
    """

    def __init__(self, watch: SilenceWatch) -> None:
        self.watch = watch
        self.context = watch.context
        self.call = watch.call
        self.placement = watch.placement
        self.hearing = AnswerHearing(self.context)

    async def run(self, relay: AnswerRelay) -> None:
        """Send the request and relay the answer.

        Raises
        ------
        AttemptError
            If the caller has no whole answer after it.
        """
        dispatcher = self.context.dispatcher
        began = self._now()
        dispatcher.request_sent(self.placement)
        dispatcher.begin(self.call.request_id, self._assignments())
        try:
            await self._run_reserved(relay)
        finally:
            dispatcher.end(self.call.request_id, self.placement)
        dispatcher.failures.answered(self.placement.home.endpoint)
        if self.watch.is_turn:
            dispatcher.turn_ended(self._now() - began)

    def shows_fault(self, error: AttemptError) -> bool:
        """Return whether an attempt failed by a fault of the endpoint.

        One that gives others their events meanwhile is only busy.
        """
        if error.end == AttemptEnd.SILENT:
            return not self.watch.is_endpoint_alive
        return error.end in {AttemptEnd.BROKEN, AttemptEnd.NOT_SENT}

    async def _run_reserved(self, relay: AnswerRelay) -> None:
        if not self.placement.plan.stored:
            await self._run_on_channel(relay, ())
            return
        reservations = Reservations(self.context, self.placement)
        try:
            await reservations.make()
            await self._run_on_channel(relay, reservations.made)
        finally:
            reservations.release()

    async def _run_on_channel(
        self,
        relay: AnswerRelay,
        reserved: tuple[Helper, ...],
    ) -> None:
        home = self.placement.home
        # A stream counts as idempotent only if it can be resumed; see
        # `ChannelPool.take` for what a kept connection would risk.
        fresh = not self.call.route.kind.is_idempotent
        channel = await self.context.pool.take(home, fresh=fresh)
        try:
            self._check_still_taken()
            self._send(channel, relay, reserved)
            await self._relay(channel, relay)
        except BaseException:
            channel.close()
            raise
        self.context.pool.give_back(home, channel)

    def _check_still_taken(self) -> None:
        """Send nothing to an endpoint that has meanwhile asked for rest.

        What goes wrong otherwise: connections by the dozen wait for an
        endpoint that is full, and each sends its request after the word.
        """
        candidates = self.context.dispatcher.candidates
        if not candidates.still_takes(self.placement.home, self._now()):
            raise AttemptError(AttemptEnd.HELD_BACK, 'takes nothing now')

    def _send(
        self,
        channel: EndpointChannel,
        relay: AnswerRelay,
        reserved: tuple[Helper, ...],
    ) -> None:
        call = self.call
        headers = self.context.wire.request_headers(
            call.request.headers,
            OutgoingTerms(
                endpoint=self.placement.home.endpoint,
                seconds_left=max(_LEAST_SECONDS, self.call.limit - self._now()),
                workspace=call.workspace,
                priority=self._priority(),
                helpers=self._helpers(reserved),
                after_event=relay.after_event,
            ),
        )
        body = call.request.body
        if body or call.request.start.method in {'POST', 'PUT', 'PATCH'}:
            headers['Content-Length'] = str(len(body))
        self.watch.last_event_at = self._now()
        channel.send(call.request.start, headers, body, call.request_id)

    async def _relay(
        self,
        channel: EndpointChannel,
        relay: AnswerRelay,
    ) -> None:
        watch = asyncio.create_task(self.watch.run(channel))
        try:
            await self._relay_watched(channel, relay)
        except AttemptError as error:
            if watch.done():
                raise AttemptError(AttemptEnd.SILENT, 'no answer') from error
            raise
        finally:
            watch.cancel()

    async def _relay_watched(
        self,
        channel: EndpointChannel,
        relay: AnswerRelay,
    ) -> None:
        head = await channel.read_head()
        self.hearing.answered(
            self.placement.home,
            head,
            self.call.request_id,
        )
        self._check_ran(head)
        if self.call.route.kind.is_stream and head.is_success:
            if not head.is_signed:
                raise AttemptError(AttemptEnd.BROKEN, 'not signed')
            await relay.stream(head, channel, self._on_event)
        else:
            await relay.whole(head, channel)

    def _check_ran(self, head: AnswerHead) -> None:
        if head.has_not_run or head.is_other_instance:
            raise AttemptError(
                AttemptEnd.NOT_RUN,
                f'status {head.status}',
                head.faulty_address,
            )

    def _on_event(self) -> None:
        dispatcher = self.context.dispatcher
        dispatcher.sent_something(self.placement.home.endpoint)
        if self.watch.event():
            dispatcher.first_event(self.call.request_id, self.placement)

    def _helpers(self, reserved: tuple[Helper, ...]) -> tuple[Helper, ...]:
        by_address = {helper.address: helper for helper in reserved}
        return tuple(
            by_address.get(record.address, Helper(record.address))
            for record in self.placement.helpers
        )

    def _priority(self) -> int:
        if self.call.service.engine is None:
            return min(_LAST_RANK, self.call.route.priority)
        if self.watch.is_turn:
            return _SHORT_RANK
        return _LONG_RANK

    def _assignments(self) -> dict[EndpointId, Assignment]:
        request = read_request(self.call, self._now())
        plan = self.placement.plan
        return assignments_of(plan, request, self.call.objective_at)

    def _now(self) -> float:
        return self.context.clock.monotonic()
