"""Sends a request of a caller to one endpoint."""

from ..calls import AdmittedRequest
from ..context import ForwardingContext
from ..placement.dispatcher import Placement
from ..wire import Helper, OutgoingTerms
from .channel import EndpointChannel

#: Lowest priority in the queue of an endpoint.
_LOWEST_PRIORITY = 9
#: Priority of an ordinary short request, which is read before longer prompts.
_SHORT_REQUEST_PRIORITY = 3
_LONG_REQUEST_PRIORITY = 5
#: Shortest remaining time that is sent to an endpoint, in seconds. It is the
#: smallest unit of the wire format.
_MIN_SECONDS_LEFT = 0.001
_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))


class OutgoingRequest:
    """One request, as it is sent to the endpoints of a placement.

    Parameters
    ----------
    is_short
        Whether the request is a short request to a model.
    """

    def __init__(
        self,
        context: ForwardingContext,
        call: AdmittedRequest,
        placement: Placement,
        *,
        is_short: bool,
    ) -> None:
        self.context = context
        self.call = call
        self.placement = placement
        self.is_short = is_short

    def send(
        self,
        channel: EndpointChannel,
        after_event: str,
        reserved: tuple[Helper, ...],
    ) -> None:
        """Send the request.

        Parameters
        ----------
        after_event
            Id after which a stream is resumed; empty for a whole stream.
        reserved
            Helpers that have reserved memory.
        """
        call = self.call
        now = self.context.clock.monotonic()
        headers = self.context.wire.request_headers(
            call.request.headers,
            OutgoingTerms(
                endpoint=self.placement.primary.endpoint,
                seconds_left=max(_MIN_SECONDS_LEFT, call.deadline - now),
                workspace=call.workspace,
                priority=self._priority(),
                helpers=self._helpers(reserved),
                after_event=after_event,
            ),
        )
        body = call.request.body
        if body or call.request.start.method in _METHODS_WITH_BODY:
            headers['Content-Length'] = str(len(body))
        channel.send(call.request.start, headers, body, call.request_id)

    def _helpers(self, reserved: tuple[Helper, ...]) -> tuple[Helper, ...]:
        by_address = {helper.address: helper for helper in reserved}
        return tuple(
            by_address.get(record.address, Helper(record.address))
            for record in self.placement.helpers
        )

    def _priority(self) -> int:
        if self.call.service.engine is None:
            return min(_LOWEST_PRIORITY, self.call.route.priority)
        if self.is_short:
            return _SHORT_REQUEST_PRIORITY
        return _LONG_REQUEST_PRIORITY
