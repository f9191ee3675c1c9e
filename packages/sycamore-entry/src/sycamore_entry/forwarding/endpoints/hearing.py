"""What answers say of the endpoint that gave them, beside the answer itself."""

from sycamore_core.routing import EndpointRecord

from ..context import ForwardingContext
from ..wire import NO_LIMIT, NO_REST, AnswerHead


class AnswerHearing:
    """Notes what endpoints say of themselves, for all later decisions."""

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context

    def answered(
        self,
        record: EndpointRecord,
        head: AnswerHead,
        request_id: str,
    ) -> None:
        """Take what the answer to a request says of its endpoint."""
        if head.is_other_instance:
            return
        self._take_words(record, head, request_id)
        if head.is_success and head.limit == NO_LIMIT:
            # That ends one. A refusal without a limit does not: it may come
            # from a part of the endpoint that does not know it.
            self._take_limit(record, head, request_id)
        if not head.has_not_run:
            self.context.dispatcher.rests.accepted(record.lifetime)

    def order_answered(self, record: EndpointRecord, head: AnswerHead) -> None:
        """Take what the answer to an order says of its endpoint."""
        if not head.is_other_instance:
            self._take_words(record, head, request_id='')

    def _take_words(
        self,
        record: EndpointRecord,
        head: AnswerHead,
        request_id: str,
    ) -> None:
        """Take what holds whatever the answer is to."""
        self.context.unknown_headers.note(
            head.unknown_names,
            record.endpoint,
        )
        self._take_leaving(record, head, request_id)
        self._take_rest(record, head, request_id)
        if head.limit.per_second is not None:
            self._take_limit(record, head, request_id)

    def _take_rest(
        self,
        record: EndpointRecord,
        head: AnswerHead,
        request_id: str,
    ) -> None:
        """Send nothing to an endpoint for as long as it asks."""
        if head.rest == NO_REST:
            return
        seconds = head.rest.seconds
        if seconds is not None:
            now = self.context.clock.monotonic()
            rests = self.context.dispatcher.rests
            rests.said(record.lifetime, seconds, now)
        self.context.log.info(
            'rest_asked_for',
            request_id=request_id,
            endpoint=record.endpoint,
            seconds=seconds,
        )

    def _take_leaving(
        self,
        record: EndpointRecord,
        head: AnswerHead,
        request_id: str,
    ) -> None:
        """Send nothing more to an endpoint that leaves.

        Its registration says so as well, but not while the platform is away.
        """
        is_news = head.is_leaving and self.context.keeper.leaving.said(
            record.lifetime,
        )
        if not is_news:
            return
        self.context.dispatcher.tell_at_once(record.endpoint)
        self.context.log.info(
            'endpoint_leaving_by_answer',
            request_id=request_id,
            endpoint=record.endpoint,
            started_ms=record.started_ms,
            status=head.status,
        )

    def _take_limit(
        self,
        record: EndpointRecord,
        head: AnswerHead,
        request_id: str,
    ) -> None:
        """Note the rate of requests that the endpoint takes."""
        dispatcher = self.context.dispatcher
        now = self.context.clock.monotonic()
        limit = head.limit.per_second
        if dispatcher.limits.said(record.lifetime, limit, now):
            self.context.log.info(
                'limit_named',
                request_id=request_id,
                endpoint=record.endpoint,
                per_second=limit,
            )
            dispatcher.tell_at_once(record.endpoint)
