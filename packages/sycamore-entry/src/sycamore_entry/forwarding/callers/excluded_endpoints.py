"""Endpoints that must not run one request after their failed attempts."""

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.ids import EndpointId

from ..context import ForwardingContext
from ..endpoints.attempt import Attempt
from ..errors import AttemptError, EndpointEndedError


class ExcludedEndpoints:
    """The endpoints at which attempts of one request have failed.

    Attributes
    ----------
    endpoints
        Endpoints that must not be used again.
    failed_at
        Excluded endpoints that answered with a failure of their own. They are
        used again if no other endpoint accepts the request.
    """

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.endpoints: set[EndpointId] = set()
        self.failed_at: set[EndpointId] = set()

    def without_return(self, current: EndpointId) -> set[EndpointId]:
        """Return the endpoints that are not used after the current one."""
        return (self.endpoints - self.failed_at) | {current}

    def exclude(self, attempt: Attempt, error: AttemptError) -> EndpointId:
        """Exclude the endpoint of a failed attempt; return it.

        If the error names another endpoint, that one is excluded instead.
        """
        if isinstance(error, EndpointEndedError):
            return self._exclude_ended(error)
        dispatcher = self.context.dispatcher
        failed_endpoint = attempt.placement.primary.endpoint
        if error.faulty_address:
            other = dispatcher.endpoint_at(error.faulty_address)
            failed_endpoint = other or failed_endpoint
        self.endpoints.add(failed_endpoint)
        if error.end == AttemptEnd.FAILED:
            self.failed_at.add(failed_endpoint)
        is_named = bool(error.faulty_address) and error.end.was_sent
        if is_named or attempt.shows_fault(error):
            dispatcher.record_failure(failed_endpoint)
        return failed_endpoint

    def _exclude_ended(self, error: EndpointEndedError) -> EndpointId:
        """Exclude an endpoint whose lifetime ended; return it.

        Its next start, or the endpoint that has its address now, has not
        failed. Silence may have another cause than the end, so that peers are
        told of a failure.
        """
        endpoint = error.cause.lifetime.endpoint
        self.endpoints.add(endpoint)
        if error.cause.evidence.is_silence:
            self.context.dispatcher.record_failure(endpoint)
        return endpoint
