"""Applies what the headers of answers report about their endpoint."""

from sycamore_core.routing import EndpointRecord

from ..context import ForwardingContext
from ..wire import NO_BACKOFF, NO_LIMIT, AnswerHead


class AnswerObserver:
    """Records reports of endpoints about themselves for later decisions."""

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context

    def observe_answer(
        self,
        record: EndpointRecord,
        head: AnswerHead,
        request_id: str,
    ) -> None:
        """Apply the reports in the answer to a request."""
        if head.is_other_instance:
            self._apply_other_instance(record, head)
            return
        self._apply_common(record, head, request_id)
        if head.is_success and head.limit == NO_LIMIT:
            # A success without a limit ends an earlier limit. A refusal does
            # not, as it may come from a part of the endpoint that does not
            # know the limit.
            self._apply_limit(record, head, request_id)
        if not head.has_not_run:
            self.context.dispatcher.backoffs.record_acceptance(record.lifetime)

    def observe_order_answer(
        self,
        record: EndpointRecord,
        head: AnswerHead,
    ) -> None:
        """Apply the reports in the answer to a reservation order."""
        if head.is_other_instance:
            self._apply_other_instance(record, head)
        else:
            self._apply_common(record, head, request_id='')

    def _apply_other_instance(
        self,
        record: EndpointRecord,
        head: AnswerHead,
    ) -> None:
        """Record that another instance answers at the address of an endpoint.

        If the answer names another address, the endpoint itself may have
        answered for a helper, and neither of them has ended for that reason.
        """
        if head.faulty_address in {'', record.address}:
            ended = self.context.keeper.ended
            ended.record_other_instance(record, head.instance)

    def _apply_common(
        self,
        record: EndpointRecord,
        head: AnswerHead,
        request_id: str,
    ) -> None:
        """Apply the reports that any answer may carry."""
        self.context.keeper.ended.record_heard(record.lifetime)
        self.context.unknown_headers.record(
            head.unknown_names,
            record.endpoint,
        )
        self._apply_leaving(record, head, request_id)
        self._apply_backoff(record, head, request_id)
        self._apply_cold(record, head)
        if head.limit.per_second is not None:
            self._apply_limit(record, head, request_id)

    def _apply_backoff(
        self,
        record: EndpointRecord,
        head: AnswerHead,
        request_id: str,
    ) -> None:
        """Apply the backoff that an endpoint requests."""
        if head.rest == NO_BACKOFF:
            return
        seconds = head.rest.seconds
        if seconds is not None:
            now = self.context.clock.monotonic()
            backoffs = self.context.dispatcher.backoffs
            backoffs.record_request(record.lifetime, seconds, now)
        self.context.log.info(
            'rest_asked_for',
            request_id=request_id,
            endpoint=record.endpoint,
            seconds=seconds,
        )

    def _apply_cold(self, record: EndpointRecord, head: AnswerHead) -> None:
        """Apply the remaining cold time that an endpoint states."""
        if head.cold.is_unreadable:
            self.context.log.warning(
                'cold_time_unusable', endpoint=record.endpoint
            )
        seconds = head.cold.seconds
        if seconds is None or not self.context.dispatcher.cold.is_enabled:
            return
        cold = self.context.keeper.cold
        if cold.apply_answer(record.lifetime, seconds):
            self.context.dispatcher.send_update_now(record.endpoint)

    def _apply_leaving(
        self,
        record: EndpointRecord,
        head: AnswerHead,
        request_id: str,
    ) -> None:
        """Exclude an endpoint from use if it reports that it leaves.

        Its registration shows this as well, but not while the platform is
        unreachable.
        """
        is_new = head.is_leaving and self.context.keeper.leaving.mark_leaving(
            record.lifetime,
        )
        if not is_new:
            return
        self.context.dispatcher.send_update_now(record.endpoint)
        self.context.log.info(
            'endpoint_leaving_by_answer',
            request_id=request_id,
            endpoint=record.endpoint,
            started_ms=record.started_ms,
            status=head.status,
        )

    def _apply_limit(
        self,
        record: EndpointRecord,
        head: AnswerHead,
        request_id: str,
    ) -> None:
        """Apply the rate limit that an endpoint names."""
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
            dispatcher.send_update_now(record.endpoint)
