"""Leader side of a group: reserve all members, then compute the spans."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from sycamore_core.clock import Clock
from sycamore_core.decisions.group_reservation import (
    GroupReservation,
    ReservationState,
)
from sycamore_core.decisions.group_times import (
    RELEASE_SENDS,
    RESEND_INTERVAL_SECONDS,
)
from sycamore_core.decisions.long_prompts import Span
from sycamore_core.ids import EndpointId, GroupId
from sycamore_core.messages import (
    GroupAnswer,
    Message,
    Offer,
    SpanDone,
    SpanRun,
)

from ..errors import GroupUnavailableError

#: Interval at which an unanswered `SpanRun` is sent again, in seconds. The
#: interval is long because the message carries a part of the prompt. A member
#: answers a repeated message without computing the span again.
SPAN_RESEND_SECONDS = 5.0
#: Longest wait between two checks of the reservation, in seconds.
MAX_WAIT_SECONDS = 0.5

Post = Callable[[EndpointId, Message], None]


class GroupRun:
    """One group that this endpoint leads."""

    def __init__(
        self,
        offer: Offer,
        spans: Sequence[Span],
        clock: Clock,
        post: Post,
    ) -> None:
        self.offer = offer
        self.spans = spans
        self.clock = clock
        self.post = post
        self.group_id = GroupId(f'{offer.request_id}.{offer.attempt}')
        self.reservation = GroupReservation.from_spans(
            self.group_id,
            offer.request_id,
            spans[:-1],
            clock.monotonic(),
        )
        self.done: dict[int, SpanDone] = {}
        self.changed = asyncio.Event()

    def handle_answer(self, endpoint: EndpointId, answer: GroupAnswer) -> None:
        """Apply a member's answer about its lease."""
        now = self.clock.monotonic()
        self.reservation.handle_answer(endpoint, answer, now)
        self.changed.set()

    def handle_done(self, done: SpanDone) -> None:
        """Record that a member has computed its span or has failed."""
        self.done[done.span] = done
        self.changed.set()

    async def prepare(self) -> str:
        """Compute all spans but the last; return the handle to import.

        Raises
        ------
        GroupUnavailableError
            If a member has too little memory, does not answer, or failed.
        """
        while self.reservation.state is ReservationState.RESERVING:
            await self._send_and_wait()
        handle, source = '', ''
        for number, span in enumerate(self.spans[:-1]):
            done = await self._compute_span(number, span, handle, source)
            handle, source = done.handle, done.source
        return handle

    async def renew_leases(self) -> None:
        """Renew the leases until cancelled."""
        while True:
            await self._send_and_wait()

    def check_leases(self) -> None:
        """Check that the leases of all members are valid.

        Raises
        ------
        GroupUnavailableError
            If a lease was lost, since that member's part of the KV cache may
            be lost too.
        """
        if not self.reservation.is_held(self.clock.monotonic()):
            failure = self.reservation.failure
            raise GroupUnavailableError(f'group lease lost: {failure}')

    async def release(self) -> None:
        """Release the memory of all members."""
        self.reservation.release(self.clock.monotonic())
        for _ in range(RELEASE_SENDS):
            self._send_due()
            await asyncio.sleep(RESEND_INTERVAL_SECONDS)

    async def _compute_span(
        self,
        number: int,
        span: Span,
        handle: str,
        source: str,
    ) -> SpanDone:
        message = SpanRun(
            group=self.group_id,
            span=number,
            payload=self._payload(span),
            tokens=span.tokens,
            first_token=span.first_token,
            imports=handle,
            source=source,
        )
        send_at = self.clock.monotonic()
        while number not in self.done:
            self.check_leases()
            if send_at <= self.clock.monotonic():
                self.post(span.endpoint, message)
                send_at += SPAN_RESEND_SECONDS
            await self._send_and_wait()
        done = self.done[number]
        if done.failed:
            raise GroupUnavailableError(f'span {number} failed')
        return done

    async def _send_and_wait(self) -> None:
        self.changed.clear()
        self._send_due()
        now = self.clock.monotonic()
        wait = min(self.reservation.next_wake(now) - now, MAX_WAIT_SECONDS)
        try:
            async with asyncio.timeout(wait):
                await self.changed.wait()
        except TimeoutError:
            return

    def _send_due(self) -> None:
        for outgoing in self.reservation.due(self.clock.monotonic()):
            self.post(outgoing.endpoint, outgoing.message)

    def _payload(self, span: Span) -> bytes:
        payload = self.offer.payload
        total = max(self.offer.prompt_tokens, 1)
        start = len(payload) * span.first_token // total
        end = len(payload) * (span.first_token + span.tokens) // total
        return payload[start:end]


class LedGroups:
    """The groups that this endpoint leads, by id."""

    def __init__(self) -> None:
        self.runs: dict[GroupId, GroupRun] = {}
        self.addresses: Mapping[str, EndpointId] = {}

    def handle_answer(self, address: str, answer: GroupAnswer) -> None:
        """Pass an answer to its group; ignore late answers."""
        run = self.runs.get(answer.group)
        endpoint = self.addresses.get(address)
        if run is not None and endpoint is not None:
            run.handle_answer(endpoint, answer)

    def handle_done(self, done: SpanDone) -> None:
        """Pass the result of a span to its group; ignore late results."""
        run = self.runs.get(done.group)
        if run is not None:
            run.handle_done(done)
