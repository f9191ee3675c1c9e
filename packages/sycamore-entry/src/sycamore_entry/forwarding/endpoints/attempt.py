"""Sends a request to one endpoint and relays the answer."""

from collections.abc import Callable

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.routing import RouteKind
from sycamore_core.tasks import start_logged

from ..calls import AdmittedRequest
from ..errors import AttemptError
from ..placement.plain_admission import PlainTiming
from ..placement.read_requests import make_assignments
from ..wire import AnswerHead, Helper
from .answer_observer import AnswerObserver
from .beginning import Beginning
from .channel import EndpointChannel
from .end_scope import EndScope
from .fallback import Fallback
from .fallback_answer import FallbackAnswer
from .fallback_stream import FallbackStream
from .interval_meter import IntervalMeter
from .outgoing_request import OutgoingRequest
from .relay import AnswerRelay
from .relayed_stream import RelayedStream
from .reservations import Reservations, check_helpers
from .silence import SilenceWatch


class Attempt:
    """One request at one endpoint and its helpers.

    Parameters
    ----------
    watch
        Ends the attempt if the endpoint is silent for too long. It also holds
        the request and its placement.
    check_sending
        Raises an `AttemptError` if the request may not be sent any more.

    Attributes
    ----------
    stream
        The stream that is relayed; None for other answers, and before.
    fallback
        What is left of an attempt that was given up, if it may go on.
    timing
        Measures a plain call; None if it is not measured.
    """

    #: Whether the request was sent, and counted, by an earlier attempt.
    is_resumed = False

    def __init__(
        self,
        watch: SilenceWatch,
        check_sending: Callable[[AdmittedRequest], None] | None = None,
    ) -> None:
        self.watch = watch
        self.context = watch.context
        self.call = watch.call
        self.placement = watch.placement
        self.observer = AnswerObserver(self.context)
        self.scope = EndScope(watch)
        self.beginning = Beginning(watch)
        self.intervals = IntervalMeter(watch)
        self.check_sending = check_sending
        self.stream: RelayedStream | None = None
        self.fallback: Fallback | None = None
        self.timing: PlainTiming | None = None
        self.reservations: Reservations | None = None
        self._connect_seconds: float = 0
        self.usage = self.context.shares.meter_attempt(
            self.call,
            self.placement.plan,
        )

    async def run(self, relay: AnswerRelay) -> None:
        """Send the request and relay the answer.

        Raises
        ------
        AttemptError
            If the caller has not received a complete answer.
        """
        started_at = self._now()
        self.timing = self.watch.hold.plain.measure(self.placement)
        self.context.dispatcher.record_request(self.placement)
        await self._run_counted(relay)
        if self.watch.is_short:
            elapsed = self._now() - started_at
            self.context.dispatcher.record_short_request(elapsed)
        self.end_timing()

    def end_timing(self) -> None:
        """Record that a plain call was answered."""
        if self.timing is not None:
            self.timing.end(self._now())

    def shows_fault(self, error: AttemptError) -> bool:
        """Return whether an attempt failed because of the endpoint.

        An endpoint that sends events for other requests meanwhile is only
        busy.
        """
        if error.end == AttemptEnd.SILENT:
            return not self.watch.is_endpoint_alive
        return error.end in {AttemptEnd.BROKEN, AttemptEnd.NOT_SENT}

    def keep_or_close(self, channel: EndpointChannel) -> None:
        """Keep an answer that was given up, in case none replaces it."""
        stream = self.stream
        if stream is not None and stream.may_go_on:
            self.fallback = FallbackStream(
                self.watch, stream, self.reservations
            )
        elif channel.is_interrupted and self.call.route.kind == RouteKind.SAFE:
            self.fallback = FallbackAnswer(self.watch, channel, self.timing)
        else:
            channel.close()

    async def _run_counted(self, relay: AnswerRelay) -> None:
        """Run the attempt while its endpoints count it."""
        dispatcher = self.context.dispatcher
        self.watch.answer = relay.answer
        self.intervals.relay = relay
        dispatcher.begin(
            self.call.request_id,
            make_assignments(self.call, self.placement.plan, self._now()),
        )
        try:
            with (
                self.usage.metered(is_resumed=self.is_resumed),
                self.context.running.track(self.placement.zones),
            ):
                async with self.scope.run(self.context, self.placement):
                    await self._run_reserved(relay)
        finally:
            dispatcher.end(self.call.request_id, self.placement)
        dispatcher.failures.record_answer(self.placement.primary.endpoint)
        self.beginning.record()

    async def _run_reserved(self, relay: AnswerRelay) -> None:
        if not self.placement.plan.helper_tokens:
            await self._run_on_channel(relay, ())
            return
        reservations = Reservations(self.context, self.placement)
        self.reservations = reservations
        try:
            await reservations.acquire()
            await self._run_on_channel(relay, reservations.granted)
        finally:
            self._release_reservations()

    def _release_reservations(self) -> None:
        """Release the memory at the helpers, unless the stream may go on."""
        if self.reservations is not None and self.fallback is None:
            self.reservations.release()

    async def _run_on_channel(
        self,
        relay: AnswerRelay,
        reserved: tuple[Helper, ...],
    ) -> None:
        primary = self.placement.primary
        # A stream counts as idempotent only if it can be resumed. The `fresh`
        # parameter of the pool explains the risk of an idle connection.
        fresh = not self.call.route.kind.is_idempotent
        size = len(self.call.request.body)
        with self.context.flow.bodies.sending(primary.endpoint, size):
            began = self._now()
            channel = await self.context.pool.acquire(primary, fresh=fresh)
            self._connect_seconds = self._now() - began
            await self._exchange(channel, relay, reserved)
        self.context.pool.release(primary, channel)

    async def _exchange(
        self,
        channel: EndpointChannel,
        relay: AnswerRelay,
        reserved: tuple[Helper, ...],
    ) -> None:
        try:
            self._check_still_accepts(self._connect_seconds)
            self._send(channel, relay, reserved)
            await self._relay(channel, relay)
        except AttemptError:
            self.keep_or_close(channel)
            raise
        except BaseException:
            channel.close()
            raise

    def _check_still_accepts(self, connect_seconds: float) -> None:
        """Raise if the request, an endpoint or a helper may not be used now.

        Without this, dozens of connections wait for an endpoint that is full,
        and each sends its request although the endpoint has requested a
        backoff. A zone may be evacuated while a connection to it is opened.
        """
        if self.call.is_late(self._now()):
            raise AttemptError(
                AttemptEnd.NOT_ACCEPTING,
                'the deadline of the request has passed',
            )
        if self.check_sending is not None:
            self.check_sending(self.call)
        candidates = self.context.dispatcher.candidates
        if not candidates.still_accepts(
            self.placement.primary, self._now(), connect_seconds
        ):
            raise AttemptError(
                AttemptEnd.NOT_ACCEPTING,
                'the endpoint does not accept requests at present',
            )
        check_helpers(self.context, self.placement)

    def _send(
        self,
        channel: EndpointChannel,
        relay: AnswerRelay,
        reserved: tuple[Helper, ...],
    ) -> None:
        self.watch.last_event_at = self._now()
        self.scope.channel = channel
        request = OutgoingRequest(
            self.context,
            self.call,
            self.placement,
            is_short=self.watch.is_short,
        )
        request.send(channel, relay.after_event, reserved)

    async def _relay(
        self,
        channel: EndpointChannel,
        relay: AnswerRelay,
    ) -> None:
        watch_task = start_logged(
            self.watch.run(channel), 'watch attempt', self.context.log
        )
        try:
            await self._relay_watched(channel, relay)
        except AttemptError as error:
            if watch_task.done():
                raise AttemptError(
                    AttemptEnd.SILENT,
                    'the endpoint was silent for too long',
                    self.watch.faulty_address,
                ) from error
            self._check_acknowledged(channel)
            raise
        finally:
            watch_task.cancel()

    def _check_acknowledged(self, channel: EndpointChannel) -> None:
        """Record the end of an endpoint that acknowledges nothing."""
        if channel.is_unacknowledged:
            lifetime = self.placement.primary.lifetime
            self.context.keeper.ended.record_lost_connection(lifetime)

    async def _relay_watched(
        self,
        channel: EndpointChannel,
        relay: AnswerRelay,
    ) -> None:
        head = await channel.read_head()
        self.observer.observe_answer(
            self.placement.primary,
            head,
            self.call.request_id,
        )
        _check_ran(head)
        if not self.call.route.kind.is_stream:
            self.watch.heard_at = self._now()
        if self.call.route.kind.is_stream and head.is_success:
            if not head.is_signed:
                raise AttemptError(
                    AttemptEnd.BROKEN,
                    'the answer is not signed',
                )
            self.stream = RelayedStream(head, channel)
            await relay.relay_stream(self.stream, self._on_event)
        else:
            await relay.relay_whole(head, channel, self._begin_forwarding)

    def _begin_forwarding(self) -> None:
        """Let an incomplete answer go on, as no other attempt can replace it.

        Its remainder may have arrived already and wait for a slow caller.
        """
        self.watch.permit.may_move = False
        self.scope.is_forwarding = True

    def _on_event(self) -> None:
        dispatcher = self.context.dispatcher
        primary = self.placement.primary
        dispatcher.record_activity(primary.endpoint)
        self.context.keeper.ended.record_heard(primary.lifetime)
        self.intervals.record_event()
        sent_at = self.watch.last_event_at
        if self.watch.record_event():
            dispatcher.first_event(
                self.call.request_id,
                self.placement,
                self._now() - sent_at,
            )
            self.usage.record_first_event()
        self.beginning.record_event()

    def _now(self) -> float:
        return self.context.clock.monotonic()


def _check_ran(head: AnswerHead) -> None:
    if head.has_not_run or head.is_other_instance:
        raise AttemptError(
            AttemptEnd.NOT_RUN,
            f'status {head.status}',
            head.faulty_address,
        )
