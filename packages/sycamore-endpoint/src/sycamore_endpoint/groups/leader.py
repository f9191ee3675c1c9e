"""The leader's side of a group: reserve everywhere, then span after span."""

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

#: Interval at which an unanswered `SpanRun` is sent again, in seconds. It
#: carries part of the prompt, so not more often; a member answers a repeated
#: one without computing it again.
SPAN_RESEND_SECONDS = 5.0
#: Longest wait between two looks at the reservation, in seconds.
LOOK_SECONDS = 0.5

Post = Callable[[EndpointId, Message], None]


class GroupRun:
    """One group, led from here."""

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
        self.group = GroupId(f'{offer.request_id}.{offer.attempt}')
        self.reservation = GroupReservation.from_spans(
            self.group,
            offer.request_id,
            spans[:-1],
            clock.monotonic(),
        )
        self.done: dict[int, SpanDone] = {}
        self.news = asyncio.Event()

    def take_answer(self, endpoint: EndpointId, answer: GroupAnswer) -> None:
        """Take a member's answer about its lease."""
        now = self.clock.monotonic()
        self.reservation.handle_answer(endpoint, answer, now)
        self.news.set()

    def take_done(self, done: SpanDone) -> None:
        """Take a member's word that its span is computed or has failed."""
        self.done[done.span] = done
        self.news.set()

    async def prepare(self) -> str:
        """Compute all spans but the last; return the handle to import.

        Raises
        ------
        GroupUnavailableError
            If a member has no room, is silent, or failed.
        """
        while self.reservation.state is ReservationState.RESERVING:
            await self._look()
        handle, source = '', ''
        for number, span in enumerate(self.spans[:-1]):
            done = await self._compute(number, span, handle, source)
            handle, source = done.handle, done.source
        return handle

    async def keep(self) -> None:
        """Renew the leases until cancelled."""
        while True:
            await self._look()

    def check(self) -> None:
        """Check that the leases of all members are in force.

        Raises
        ------
        GroupUnavailableError
            If one was lost, so that its part of the KV cache may be gone.
        """
        if not self.reservation.is_held(self.clock.monotonic()):
            failure = self.reservation.failure
            raise GroupUnavailableError(f'group lost: {failure}')

    async def release(self) -> None:
        """Give the memory of all members back."""
        self.reservation.release(self.clock.monotonic())
        for _ in range(RELEASE_SENDS):
            self._send_due()
            await asyncio.sleep(RESEND_INTERVAL_SECONDS)

    async def _compute(
        self,
        number: int,
        span: Span,
        handle: str,
        source: str,
    ) -> SpanDone:
        wanted = SpanRun(
            group=self.group,
            span=number,
            payload=self._payload(span),
            tokens=span.tokens,
            first_token=span.first_token,
            imports=handle,
            source=source,
        )
        send_at = self.clock.monotonic()
        while number not in self.done:
            self.check()
            if send_at <= self.clock.monotonic():
                self.post(span.endpoint, wanted)
                send_at += SPAN_RESEND_SECONDS
            await self._look()
        done = self.done[number]
        if done.failed:
            raise GroupUnavailableError(f'span {number} failed')
        return done

    async def _look(self) -> None:
        self.news.clear()
        self._send_due()
        now = self.clock.monotonic()
        wait = min(self.reservation.next_wake(now) - now, LOOK_SECONDS)
        try:
            async with asyncio.timeout(wait):
                await self.news.wait()
        except TimeoutError:
            return

    def _send_due(self) -> None:
        for outgoing in self.reservation.due(self.clock.monotonic()):
            self.post(outgoing.endpoint, outgoing.message)

    def _payload(self, span: Span) -> bytes:
        payload = self.offer.payload
        total = max(self.offer.prompt_tokens, 1)
        begin = len(payload) * span.first_token // total
        end = len(payload) * (span.first_token + span.tokens) // total
        return payload[begin:end]


class Groups:
    """The groups that this endpoint leads, by id."""

    def __init__(self) -> None:
        self.runs: dict[GroupId, GroupRun] = {}
        self.addresses: Mapping[str, EndpointId] = {}

    def take_answer(self, address: str, answer: GroupAnswer) -> None:
        """Hand an answer to its group; a late one is left alone."""
        run = self.runs.get(answer.group)
        endpoint = self.addresses.get(address)
        if run is not None and endpoint is not None:
            run.take_answer(endpoint, answer)

    def take_done(self, done: SpanDone) -> None:
        """Hand on that a span is computed; a late word is left alone."""
        run = self.runs.get(done.group)
        if run is not None:
            run.take_done(done)
