"""Errors of the forwarding entry."""

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.errors import SycamoreError


class ForwardingError(SycamoreError):
    """Root of the errors of this layer."""


class WireError(ForwardingError):
    """A caller's header cannot be read."""


class CallerLeftError(ForwardingError):
    """The caller has closed its connection."""


class AttemptError(ForwardingError):
    """An attempt at an endpoint gave no whole answer.

    Attributes
    ----------
    end
        How it ended, by which is decided what follows.
    faulty_address
        Endpoint at fault where it is another than the one that was called.
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
