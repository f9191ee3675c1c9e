"""The whole life of one request in an entry process, written straight down."""

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
from ..errors import CallerGoneError, CutAnswerError, RefusedError
from ..fleet import EndpointLink
from .attempt import AttemptOffer, AttemptState
from .call import CallerRequest
from .context import EntryContext
from .mailbox import Mailbox
from .progress import ExchangeProgress
from .reports import ExchangeReport
from .stream import AnswerLostError, AnswerStream, is_whole
from .waiting import SupersededError, next_of

#: How long the run of a caller that went away is kept for its return.
CALLER_GRACE_SECONDS = 5.0


class Exchange:
    """One request, from the queue to its closing frame."""

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
        self.report = ExchangeReport(context, request)
        self.progress = ExchangeProgress(context, request, self.report)
        self.outcome = Outcome.FAILED

    async def run(self) -> None:
        """Serve the request until its caller has a final answer."""
        mailbox = self.context.registry.open(self.request_id)
        try:
            await self._run_to_answer(mailbox)
        except SupersededError:
            self.outcome = Outcome.CANCELLED
            self.sink.abandon()
        except CallerGoneError:
            self.outcome = Outcome.CANCELLED
            self._leave_to_grace(mailbox)
        except asyncio.CancelledError:
            self.outcome = Outcome.CANCELLED
            self._leave_to_grace(mailbox)
            raise
        finally:
            self._end(mailbox)

    async def _run_to_answer(self, mailbox: Mailbox) -> None:
        try:
            await self._run_in_time(mailbox)
        except RefusedError as refused:
            progress = self.progress
            self.report.refused(refused, progress.endpoint, progress.attempt)
            await self.sink.refuse(self.request_id, refused)

    async def _run_in_time(self, mailbox: Mailbox) -> None:
        try:
            async with asyncio.timeout(self.progress.seconds_left):
                await self._serve(mailbox)
        except TimeoutError as error:
            self.progress.cancel_run(CancelReason.DEADLINE)
            raise self.progress.refused(
                RefusalReason.DEADLINE_PASSED,
                'the time limit is over',
            ) from error

    async def _serve(self, mailbox: Mailbox) -> None:
        pinned = self.request.view.pinned_to
        if pinned is not None:
            await self.context.links.reach(pinned)
        self._submit()
        is_over = False
        while not is_over:
            self.context.wake.set()
            dispatch = await self._dispatched(mailbox)
            is_over = await self._try_at(dispatch, mailbox)

    def _submit(self) -> None:
        view = self.request.view
        decision = self.context.scheduler.submit(view, self.context.now())
        if isinstance(decision, Refusal):
            raise self.progress.refused_by(decision)

    async def _dispatched(self, mailbox: Mailbox) -> Dispatch:
        mailbox.endpoint = None
        decision = await next_of(
            mailbox,
            (Dispatch, Refusal),
            self.progress.seconds_left,
        )
        if decision is None:
            raise TimeoutError
        if isinstance(decision, Refusal):
            raise self.progress.refused_by(decision)
        return decision

    async def _try_at(self, dispatch: Dispatch, mailbox: Mailbox) -> bool:
        """Make one attempt; return whether the caller has its answer."""
        link = self.context.links.find(dispatch.endpoint)
        members = self._member_addresses(dispatch)
        if link is None or len(members) < len(dispatch.members):
            self.progress.try_again(RetryReason.ENDPOINT_SILENT)
            return False
        self.report.offered()
        self.progress.begin_attempt(link)
        offer = AttemptOffer(
            self.request,
            link,
            self.progress.attempt,
            mailbox,
        )
        left = self.progress.seconds_left
        state = await offer.make(left, dispatch.priority, members)
        if state == AttemptState.RUNNING:
            self.progress.running(offer.attempt)
            return await self._receive(link, mailbox)
        self._after_offer(state, offer)
        return False

    def _member_addresses(self, dispatch: Dispatch) -> tuple[str, ...]:
        links = [self.context.links.find(name) for name in dispatch.members]
        return tuple(link.address for link in links if link is not None)

    def _after_offer(self, state: AttemptState, offer: AttemptOffer) -> None:
        if offer.declined:
            self.progress.declined(offer.declined)
        elif state == AttemptState.BARRED:
            self.progress.barred()
        else:
            self.progress.lost('the endpoint does not say whether it ran')

    async def _receive(self, link: EndpointLink, mailbox: Mailbox) -> bool:
        now = self.context.now()
        self.context.scheduler.accepted(self.request_id, link.endpoint, now)
        await self.sink.admitted(self.request_id)
        attempt = self.progress.attempt
        stream = AnswerStream(link, self.request_id, attempt, mailbox)
        try:
            close = await stream.receive(self.report.watch(self.sink))
        except CutAnswerError as error:
            raise self.progress.refused(
                RefusalReason.BACKEND_FAILED,
                str(error),
            ) from error
        except AnswerLostError:
            self.progress.lost(
                'the endpoint was lost while the request ran',
                has_begun=stream.has_first,
            )
            return False
        finally:
            self.report.frames_asked_again(stream.asked_again)
        return await self._close(close, stream)

    async def _close(self, close: Close, stream: AnswerStream) -> bool:
        if is_whole(close) or stream.has_first:
            self.outcome = close.outcome
            await self.sink.close(close)
            progress = self.progress
            self.report.closed(close, progress.endpoint, progress.attempt)
            return True
        outcome = close.outcome.value
        self.progress.failed(close.reason, f'the run ended as {outcome}')
        return False

    def _leave_to_grace(self, mailbox: Mailbox) -> None:
        """Cancel the run later, unless its caller comes back by then.

        A non-idempotent run goes on: to break it off half way would leave
        its caller with a deposit of which nobody can tell.
        """
        self.report.left()
        link = self.progress.link
        if link is None or not self.request.view.idempotent:
            return
        if self.context.registry.is_current(self.request_id, mailbox):
            loop = asyncio.get_running_loop()
            message = Cancel(self.request_id, CancelReason.CALLER_GONE)
            loop.call_later(CALLER_GRACE_SECONDS, self._cancel_late, message)

    def _cancel_late(self, message: Cancel) -> None:
        link = self.progress.link
        if link is not None and message.request_id not in self.context.registry:
            link.post(message)

    def _end(self, mailbox: Mailbox) -> None:
        if self.context.registry.close(self.request_id, mailbox):
            now = self.context.now()
            self.context.scheduler.finished(self.request_id, self.outcome, now)
            self.report.settle()
            self.context.wake.set()
