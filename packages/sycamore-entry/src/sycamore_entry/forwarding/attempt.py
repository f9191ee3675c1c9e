"""One attempt: a request is sent to an endpoint and its answer relayed."""

import asyncio

from sycamore_core.decisions.direct import AttemptEnd, Stake, is_turn
from sycamore_core.ids import EndpointId

from .calls import AttemptCall
from .channel import EndpointChannel
from .context import ForwardingContext
from .dispatcher import Placement
from .errors import AttemptError
from .relay import AnswerRelay
from .reservations import Reservations
from .wire import AnswerHead, Helper, OutgoingTerms

_MS = 1000.0
#: Time without a first event after which a request is tried elsewhere, in
#: multiples of the estimate and beyond it in seconds. An engine that hangs is
#: found out this way; estimates are off by less than a factor of two.
_FIRST_FACTOR = 2.5
_FIRST_EXTRA = 0.7
#: Time without a first event after which a short turn is tried elsewhere, in
#: seconds. It stands behind a long read that was not foreseen; callers give
#: up after two seconds, and to read it again takes some 30 ms.
_TURN_PATIENCE = 0.8
#: Time between events after which a stream is resumed elsewhere, in multiples
#: of the promised pause and at least in seconds. Callers give up after two
#: seconds, and another engine has to read the prompt again before that.
_PAUSE_FACTOR = 3.5
_LEAST_PAUSE = 0.9
#: Part of the time left after which an idempotent call is tried elsewhere.
_PLAIN_PART = 0.4
#: Ranks that an endpoint's queue knows.
_LAST_RANK = 9
#: Rank of an ordinary short turn, which is read before longer prompts.
_SHORT_RANK = 3
_LONG_RANK = 5
_SHORT_TOKENS = 12_000
#: Least time that an endpoint is told, in seconds; the wire's unit.
_LEAST_SECONDS = 0.001


class Attempt:
    """One request at one endpoint, and at those that help it.

    Parameters
    ----------
    may_move
        Whether another endpoint may run the request after this one. If not,
        an endpoint's silence ends nothing: its answer may still come.
    """

    def __init__(
        self,
        context: ForwardingContext,
        call: AttemptCall,
        placement: Placement,
        *,
        may_move: bool,
    ) -> None:
        self.context = context
        self.call = call
        self.placement = placement
        self.may_move = may_move
        costs = call.service.engine
        tokens = call.terms.prompt_tokens
        self.is_turn = costs is not None and is_turn(costs, tokens)
        self.has_event = False
        self._last_event_at: float = 0

    async def run(self, relay: AnswerRelay) -> None:
        """Send the request and relay the answer.

        Raises
        ------
        AttemptError
            If the caller has no whole answer after it.
        """
        dispatcher = self.context.dispatcher
        began = self._now()
        dispatcher.begin(self.call.request_id, self._stakes())
        try:
            await self._run_reserved(relay)
        finally:
            dispatcher.end(self.call.request_id, self.placement)
        dispatcher.answered(self.placement.home.endpoint)
        if self.is_turn:
            dispatcher.turn_ended(self._now() - began)

    async def _run_reserved(self, relay: AnswerRelay) -> None:
        if not self.placement.stored:
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
            self._send(channel, relay, reserved)
            await self._relay(channel, relay)
        except BaseException:
            channel.close()
            raise
        self.context.pool.give_back(home, channel)

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
        self._last_event_at = self._now()
        channel.send(call.request.start, headers, body, call.request_id)

    async def _relay(
        self,
        channel: EndpointChannel,
        relay: AnswerRelay,
    ) -> None:
        watch = asyncio.create_task(self._watch(channel))
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

    async def _watch(self, channel: EndpointChannel) -> None:
        """Close a channel on which nothing comes for too long.

        What goes wrong otherwise: an endpoint hangs or its connection falls
        silent, and the caller waits until its deadline although others could
        have answered.
        """
        while True:
            left = self._heard_at() + self._patience() - self._now()
            if left <= 0:
                channel.close()
                return
            await asyncio.sleep(left)

    def _heard_at(self) -> float:
        """Return the last sign that the answer is on its way.

        Before the first event of a long prompt, any sign of life of the
        engine counts: one that is busy with others is no faster elsewhere,
        and the reading that it has done would be lost.
        """
        is_plain = not self.call.route.kind.is_stream
        if self.has_event or self.is_turn or is_plain:
            return self._last_event_at
        home = self.placement.home.endpoint
        alive_at = self.context.dispatcher.alive_at.get(home, 0)
        return max(self._last_event_at, alive_at)

    def _patience(self) -> float:
        """Return for how long nothing may come, in seconds."""
        kind = self.call.route.kind
        left = max(0, self.call.limit - self._now())
        if not self.may_move:
            return left + 1
        if not kind.is_stream:
            return left * _PLAIN_PART
        if self.has_event:
            promised = self.call.route.pause_objective
            return max(_LEAST_PAUSE, promised * _PAUSE_FACTOR)
        expected = self.placement.expected_ms / _MS
        if self.is_turn:
            return max(_TURN_PATIENCE, expected + _TURN_PATIENCE / 2)
        return expected * _FIRST_FACTOR + _FIRST_EXTRA

    def _on_event(self) -> None:
        self._last_event_at = self._now()
        dispatcher = self.context.dispatcher
        dispatcher.sent_something(self.placement.home.endpoint)
        if not self.has_event:
            self.has_event = True
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
        if self.call.terms.prompt_tokens < _SHORT_TOKENS:
            return _SHORT_RANK
        return _LONG_RANK

    def _stakes(self) -> dict[EndpointId, Stake]:
        placement = self.placement
        terms = self.call.terms
        stored = dict(placement.stored)
        tokens = terms.prompt_tokens + terms.answer_tokens
        stakes = {
            helper.endpoint: Stake(
                read_ms=placement.part_ms,
                weight=placement.weight,
                promised_at=self.call.objective_at,
                is_ahead=True,
                memory_tokens=stored.get(helper.endpoint, 0),
                is_home=False,
            )
            for helper in placement.helpers
        }
        stakes[placement.home.endpoint] = Stake(
            read_ms=placement.part_ms,
            weight=placement.weight,
            promised_at=self.call.objective_at,
            is_ahead=bool(placement.helpers),
            context_tokens=terms.prompt_tokens,
            memory_tokens=max(0, tokens - sum(stored.values())),
            pause_ms=self.call.route.pause_objective * _MS,
        )
        return stakes

    def _now(self) -> float:
        return self.context.clock.monotonic()
