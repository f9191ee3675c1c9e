"""Errors of the forwarding entry."""

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.decisions.lifetimes import LifetimeEnd
from sycamore_core.errors import SycamoreError


class ForwardingError(SycamoreError):
    """Base class of the errors of the forwarding entry."""


class WireError(ForwardingError):
    """A caller's header cannot be read."""


class CallerDisconnectedError(ForwardingError):
    """The caller has closed its connection.

    Attributes
    ----------
    label
        Name of the outcome of the request.
    """

    label = 'caller_left'


class SlowReaderError(CallerDisconnectedError):
    """A reader has read nothing for too long and is disconnected."""

    label = 'slow_reader'


class AttemptError(ForwardingError):
    """An attempt at an endpoint gave no complete answer.

    Attributes
    ----------
    end
        How the attempt ended; it determines the next step.
    detail
        Description of the fault for the log.
    faulty_address
        Address of the endpoint at fault, if it is not the endpoint that was
        called; otherwise empty.
    """

    def __init__(
        self,
        end: AttemptEnd,
        detail: str,
        faulty_address: str = '',
    ) -> None:
        super().__init__(detail)
        self.end = end
        self.detail = detail
        self.faulty_address = faulty_address


class NoDescriptorError(AttemptError):
    """The process has no descriptor left for a connection."""


class EndpointEndedError(AttemptError):
    """An attempt ended because the lifetime of an endpoint has ended.

    Attributes
    ----------
    cause
        End of the lifetime, of the primary endpoint or of a helper.
    """

    def __init__(self, end: AttemptEnd, cause: LifetimeEnd) -> None:
        super().__init__(end, f'the endpoint has ended: {cause.evidence}')
        self.cause = cause


class FallbackReadyError(ForwardingError):
    """The answer of an attempt that was given up has arrived."""
