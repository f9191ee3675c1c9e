"""Ends an attempt if its endpoint sends nothing for too long."""

import asyncio

from sycamore_core.decisions.direct import is_overdue, is_short_request
from sycamore_core.routing import EngineCosts

from ..callers.caller_answer import CallerAnswer
from ..calls import AdmittedRequest
from ..context import ForwardingContext
from ..placement.dispatcher import Placement
from .channel import EndpointChannel
from .early_move import EarlyMove
from .full_fleet_hold import FullFleetHold
from .move_permit import MovePermit
from .silence_report import SilenceReport
from .time_limit import let_loop_read
from .unread_bytes import UnreadBytes

_MS = 1000.0
_CAUSE = 'silent'
#: The timeout of the first event is the estimate times this factor, plus these
#: seconds. It detects an engine that hangs. The errors of estimates are below a
#: factor of two.
_FIRST_EVENT_FACTOR = 2.5
_FIRST_EVENT_EXTRA_SECONDS = 0.7
#: Timeout of the first event of a short request, in seconds. Such a request is
#: late if it waits behind a long prompt that was not predicted. Callers cancel
#: after two seconds, and another engine reads the prompt in about 30 ms.
_SHORT_REQUEST_TIMEOUT_SECONDS = 0.8
#: Share of the time limit for which a long prompt stays at its engine. It moves
#: sooner only if its engine has failed repeatedly, or if it is overdue, is
#: quick to read, and another engine can meet the objective. Another engine
#: reads the prompt from the start, and in an overload no engine is faster.
_LONG_TIMEOUT_SHARE = 0.45
#: Longest reading time of an overdue long prompt that may move sooner, in
#: milliseconds. Reading a longer prompt again takes seconds of engine time, and
#: engines are full when many prompts are late.
_MAX_REREAD_MS = 500.0
#: Interval of the checks whether a late request should move, in seconds.
_RECHECK_SECONDS = 0.15
#: Pause between events after which a stream is resumed elsewhere, as a multiple
#: of the pause objective and with a minimum in seconds. Callers cancel after
#: two seconds, and another engine must read the prompt again before that.
_PAUSE_FACTOR = 3.5
_MIN_PAUSE_SECONDS = 0.9
#: An idempotent call is retried once its silence exceeds this share of the time
#: that is then left to its deadline.
_PLAIN_TIMEOUT_SHARE = 0.4
#: Time since the first event within which a request counts as just begun, in
#: seconds.
_JUST_BEGUN_SECONDS = 1.0


class SilenceWatch:
    """Watches the answer of one attempt for silence.

    Parameters
    ----------
    permit
        Permission to move to another endpoint. Without it, silence does not end
        the attempt, as the answer may still arrive.

    Attributes
    ----------
    is_short
        Whether the request is a short request to a model.
    first_event_at
        Time of the first event, on the monotonic clock; None before it.
    answer
        Answer to the caller. Silence does not count while it is blocked, as
        nothing is read from the endpoint then.
    faulty_address
        Address of the helper because of which the attempt moves; otherwise
        empty.
    hold
        Keeps the attempt at its endpoint while the fleet is full.
    heard_at
        When the head of the answer, or bytes that were not taken yet, last
        showed that the endpoint goes on, on the monotonic clock.
    unread
        Finds bytes that arrived while the event loop was late.
    last_event_at
        Time of the last event, on the monotonic clock. Before the first event,
        the time at which the request was sent.
    """

    def __init__(
        self,
        context: ForwardingContext,
        call: AdmittedRequest,
        placement: Placement,
        permit: MovePermit,
    ) -> None:
        self.context = context
        self.call = call
        self.placement = placement
        self.permit = permit
        costs = call.service.engine
        tokens = call.terms.prompt_tokens
        self.is_short = costs is not None and is_short_request(costs, tokens)
        self.hold = FullFleetHold(context, call, placement, permit.excluded)
        self.first_event_at: float | None = None
        self.faulty_address = ''
        self.answer: CallerAnswer | None = None
        self.last_event_at = context.clock.monotonic()
        self.heard_at = self.last_event_at
        self.unread = UnreadBytes()

    @property
    def is_endpoint_alive(self) -> bool:
        """Whether the endpoint is active since the last event of the request.

        Events of all requests count.
        """
        return self._alive_at >= self.last_event_at

    @property
    def has_event(self) -> bool:
        """Whether the first event has arrived."""
        return self.first_event_at is not None

    @property
    def had_just_begun(self) -> bool:
        """Whether the first event is missing or less than a second old."""
        if self.first_event_at is None:
            return True
        return self._now() - self.first_event_at < _JUST_BEGUN_SECONDS

    def record_event(self) -> bool:
        """Record an event; return whether it is the first."""
        self.last_event_at = self._now()
        is_first = not self.has_event
        if is_first:
            self.first_event_at = self.last_event_at
        return is_first

    async def run(self, channel: EndpointChannel) -> None:
        """Interrupt the answer once it has been silent for too long.

        Without this, the caller of an endpoint that hangs, or whose connection
        is broken, waits until its deadline although another endpoint could
        have answered.
        """
        early = EarlyMove(self.context, self.call, self.placement)
        due = self._now()
        while not await self._gives_up(channel, early):
            pause = max(self._seconds_left(), _RECHECK_SECONDS)
            if self._may_move_early:
                # Peers may report its endpoints at any time.
                pause = _RECHECK_SECONDS
            due = self._now() + pause
            await asyncio.sleep(pause)
        SilenceReport(self.context).record(
            self.call,
            channel,
            permit=self.permit.state,
            silent_seconds=self._now() - self._last_activity_at(),
            late_seconds=self._now() - due,
            has_event=self.has_event,
        )
        channel.interrupt()

    async def _gives_up(
        self,
        channel: EndpointChannel,
        early: EarlyMove,
    ) -> bool:
        """Return whether the attempt is given up now.

        Nothing else runs between the last check and the reservation.
        """
        if not self._should_move(early):
            return False
        await let_loop_read()
        if not self._should_move(early):
            return False
        if self.unread.check(channel):
            self.heard_at = self._now()
            return False
        return self.permit.acquire(_CAUSE, needs_slot=self.has_event)

    def _should_move(self, early: EarlyMove) -> bool:
        """Return whether the clock or the reports of peers end the attempt."""
        self.faulty_address = ''
        if self._seconds_left() <= 0 and self._is_worth_moving():
            return True
        if not (self._may_move_early and early.is_due()):
            return False
        self.faulty_address = early.faulty_address
        return True

    def _seconds_left(self) -> float:
        """Return for how long the endpoint may be silent from now on."""
        due = self._last_activity_at() + self._timeout_seconds()
        return due - self._now()

    @property
    def _may_move_early(self) -> bool:
        """Whether the reports of peers may end the attempt."""
        is_long = self.call.service.engine is not None and not self.is_short
        is_unanswered = is_long and not self.has_event
        return is_unanswered and self.permit.may_move

    def _is_worth_moving(self) -> bool:
        """Return whether it is useful to move to another endpoint.

        Without this, when all engines are busy for a second, every short
        request moves from one engine to another and is read twice, so that the
        overload lasts ten seconds. A call of a replica ends without its answer
        if no other endpoint takes it.
        """
        if self.has_event:
            # The permit asks for a slot, once a retry is left.
            return True
        waited = self._now() - self.last_event_at
        if self.hold.applies(waited, self._first_event_timeout_seconds()):
            return False
        costs = self.call.service.engine
        # The permit asks whether another replica accepts a call.
        return costs is None or self._is_worth_reading_again(costs)

    def _is_worth_reading_again(self, costs: EngineCosts) -> bool:
        """Return whether another engine may read the prompt from the start."""
        alternative_ms = self.hold.alternative_ms
        if self.is_short:
            return alternative_ms(costs) < self.call.route.objective * _MS
        if self._must_move():
            return True
        tokens = self.call.terms.prompt_tokens
        if costs.read_ms(tokens) > _MAX_REREAD_MS:
            return False
        left_ms = (self.call.objective_at - self._now()) * _MS
        is_late = is_overdue(
            self.call.request_id,
            self.placement.plan.members,
            self.context.dispatcher.loads,
            costs,
            self._now(),
        )
        return is_late and alternative_ms(costs) < left_ms

    def _must_move(self) -> bool:
        """Return whether a long prompt moves without a new estimate.

        Its engine has failed repeatedly, or has been silent for too long.
        """
        primary = self.placement.primary.endpoint
        if self.context.dispatcher.failures.has_repeated_failures(primary):
            return True
        timeout = self.call.route.time_limit * _LONG_TIMEOUT_SHARE
        return self._now() - self._last_activity_at() >= timeout

    @property
    def _alive_at(self) -> float:
        """Return when the endpoint last sent this entry an event."""
        primary = self.placement.primary.endpoint
        failures = self.context.dispatcher.failures
        return failures.last_activity_at.get(primary, 0)

    def _last_activity_at(self) -> float:
        """Return the time of the last activity that counts for the request.

        Before the first event of a long prompt, events of other requests at
        the engine count as well: the engine is busy with them, another engine
        would not be faster, and the part that has been read would be lost.
        """
        if self.answer is not None and self.answer.is_blocked:
            return self._now()
        heard_at = max(self.last_event_at, self.heard_at)
        is_plain = not self.call.route.kind.is_stream
        if self.has_event or self.is_short or is_plain:
            return heard_at
        return max(heard_at, self._alive_at)

    def _timeout_seconds(self) -> float:
        """Return the longest permitted silence, in seconds."""
        left = max(0, self.call.deadline - self._now())
        if not self.permit.may_move:
            return left + 1
        if not self.call.route.kind.is_stream:
            return left * _PLAIN_TIMEOUT_SHARE
        if self.has_event:
            objective = self.call.route.pause_objective
            return max(_MIN_PAUSE_SECONDS, objective * _PAUSE_FACTOR)
        return self._first_event_timeout_seconds()

    def _first_event_timeout_seconds(self) -> float:
        """Return the timeout of the first event of a stream, in seconds."""
        expected = self.placement.plan.expected_ms / _MS
        if self.is_short:
            return max(
                _SHORT_REQUEST_TIMEOUT_SECONDS,
                expected + _SHORT_REQUEST_TIMEOUT_SECONDS / 2,
            )
        return expected * _FIRST_EVENT_FACTOR + _FIRST_EVENT_EXTRA_SECONDS

    def _now(self) -> float:
        return self.context.clock.monotonic()
