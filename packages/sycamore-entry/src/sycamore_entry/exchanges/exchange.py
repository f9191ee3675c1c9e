"""The control flow of one request in an entry process."""

import asyncio

from sycamore_core.decisions import Dispatch, Refusal
from sycamore_core.messages import Cancel, Close
from sycamore_core.states import (
    CancelReason,
    Outcome,
    RefusalReason,
    RetryReason,
)

from ..answers import AnswerSink
from ..errors import CallerGoneError, IncompleteAnswerError, RefusedError
from ..fleet import EndpointLink
from .attempt import AttemptOffer, AttemptState
from .call import CallerRequest
from .context import EntryContext
from .mailbox import Mailbox
from .progress import ExchangeProgress
from .stream import AnswerLostError, AnswerStream, is_complete
from .telemetry import ExchangeTelemetry
from .waiting import SupersededError, next_event_of

#: Time for which a run is kept after its caller disconnects, so that the
#: caller can reconnect.
CALLER_GRACE_SECONDS = 5.0


class Exchange:
    """Handles one request from submission to the closing frame."""

    def __init__(
        self,
        context: EntryContext,
        request: CallerRequest,
        sink: AnswerSink,
    ) -> None:
        self.context = context
        self.request = request
        self.sink = sink
        self.request_id = request.view.request_id
        self.telemetry = ExchangeTelemetry(context, request)
        self.progress = ExchangeProgress(context, request, self.telemetry)
        self.outcome = Outcome.FAILED

    async def run(self) -> None:
        """Serve the request until its caller has a final answer."""
        mailbox = self.context.registry.open(self.request_id)
        try:
            await self._run_until_answered(mailbox)
        except SupersededError:
            self.outcome = Outcome.CANCELLED
            self.sink.abort()
        except CallerGoneError:
            self.outcome = Outcome.CANCELLED
            self._schedule_cancel(mailbox)
        except asyncio.CancelledError:
            self.outcome = Outcome.CANCELLED
            self._schedule_cancel(mailbox)
            raise
        finally:
            self._finish(mailbox)

    @property
    def _is_answered(self) -> bool:
        return self.outcome != Outcome.FAILED

    async def _run_until_answered(self, mailbox: Mailbox) -> None:
        try:
            await self._run_until_deadline(mailbox)
        except RefusedError as refused:
            progress = self.progress
            self.telemetry.record_refused(
                refused, progress.endpoint, progress.attempt
            )
            await self.sink.refuse(self.request_id, refused)

    async def _run_until_deadline(self, mailbox: Mailbox) -> None:
        try:
            async with asyncio.timeout(self.progress.seconds_left):
                await self._serve(mailbox)
        except TimeoutError as error:
            self.progress.cancel_run(CancelReason.DEADLINE)
            raise self.progress.make_error(
                RefusalReason.DEADLINE_PASSED,
                'the time limit is over',
            ) from error
        except asyncio.CancelledError as error:
            if self._is_answered or not self.context.open.is_ended:
                raise
            raise self.progress.make_stop_error() from error

    async def _serve(self, mailbox: Mailbox) -> None:
        pinned = self.request.view.pinned_to
        if pinned is not None:
            await self.context.links.wait_for_report(pinned)
        self._submit()
        is_over = False
        while not is_over:
            self.context.dispatch_needed.set()
            dispatch = await self._next_dispatch(mailbox)
            is_over = await self._attempt(dispatch, mailbox)

    def _submit(self) -> None:
        view = self.request.view
        decision = self.context.scheduler.submit(view, self.context.now())
        if isinstance(decision, Refusal):
            raise self.progress.error_from_refusal(decision)

    async def _next_dispatch(self, mailbox: Mailbox) -> Dispatch:
        mailbox.endpoint = None
        decision = await next_event_of(
            mailbox,
            (Dispatch, Refusal),
            self.progress.seconds_left,
        )
        if decision is None:
            raise TimeoutError
        if isinstance(decision, Refusal):
            raise self.progress.error_from_refusal(decision)
        return decision

    async def _attempt(self, dispatch: Dispatch, mailbox: Mailbox) -> bool:
        """Make one attempt; return whether the caller has the answer."""
        link = self.context.links.find(dispatch.endpoint)
        members = self._member_addresses(dispatch)
        if link is None or len(members) < len(dispatch.members):
            self.progress.request_retry(RetryReason.ENDPOINT_SILENT)
            return False
        self.telemetry.record_offered()
        self.progress.begin_attempt(link)
        offer = AttemptOffer(
            self.request,
            link,
            self.progress.attempt,
            mailbox,
        )
        left = self.progress.seconds_left
        state = await offer.send(left, dispatch.priority, members)
        if state == AttemptState.RUNNING:
            self.progress.record_running(offer.attempt)
            return await self._receive(link, mailbox)
        self._handle_failed_offer(state, offer)
        return False

    def _member_addresses(self, dispatch: Dispatch) -> tuple[str, ...]:
        links = [self.context.links.find(name) for name in dispatch.members]
        return tuple(link.address for link in links if link is not None)

    def _handle_failed_offer(
        self, state: AttemptState, offer: AttemptOffer
    ) -> None:
        if offer.declined:
            self.progress.record_declined(offer.declined)
        elif state == AttemptState.BARRED:
            self.progress.record_barred()
        else:
            self.progress.record_lost(
                'the endpoint does not say whether it ran'
            )

    async def _receive(self, link: EndpointLink, mailbox: Mailbox) -> bool:
        now = self.context.now()
        self.context.scheduler.accepted(self.request_id, link.endpoint, now)
        await self.sink.start(self.request_id)
        attempt = self.progress.attempt
        stream = AnswerStream(link, self.request_id, attempt, mailbox)
        try:
            close = await stream.receive(self.telemetry.observe(self.sink))
        except IncompleteAnswerError as error:
            raise self.progress.make_error(
                RefusalReason.BACKEND_FAILED,
                str(error),
            ) from error
        except AnswerLostError:
            self.progress.record_lost(
                'the endpoint was lost while the request ran',
                has_partial_answer=stream.has_first_frame,
            )
            return False
        finally:
            self.telemetry.record_resend_requests(stream.resend_requests)
        return await self._close(close, stream)

    async def _close(self, close: Close, stream: AnswerStream) -> bool:
        if is_complete(close) or stream.has_first_frame:
            self.outcome = close.outcome
            await self.sink.close(close)
            progress = self.progress
            self.telemetry.record_closed(
                close, progress.endpoint, progress.attempt
            )
            return True
        outcome = close.outcome.value
        self.progress.record_failed(close.reason, f'the run ended as {outcome}')
        return False

    def _schedule_cancel(self, mailbox: Mailbox) -> None:
        """Cancel the run after a grace period unless the caller reconnects.

        A non-idempotent run continues. If it were cancelled halfway, the
        outcome, for example of a deposit, would remain unknown.
        """
        self.telemetry.record_caller_left()
        link = self.progress.link
        if link is None or not self.request.view.idempotent:
            return
        if self.context.registry.is_current(self.request_id, mailbox):
            loop = asyncio.get_running_loop()
            message = Cancel(self.request_id, CancelReason.CALLER_GONE)
            loop.call_later(
                CALLER_GRACE_SECONDS, self._cancel_unless_resumed, message
            )

    def _cancel_unless_resumed(self, message: Cancel) -> None:
        link = self.progress.link
        if link is not None and message.request_id not in self.context.registry:
            link.post(message)

    def _finish(self, mailbox: Mailbox) -> None:
        if self.context.registry.close(self.request_id, mailbox):
            now = self.context.now()
            self.context.scheduler.finished(self.request_id, self.outcome, now)
            self.telemetry.record_attainment()
            self.context.dispatch_needed.set()
