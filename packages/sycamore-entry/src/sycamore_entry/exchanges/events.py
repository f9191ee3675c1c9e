"""Events of an exchange: decisions, messages and lost endpoints."""

import msgspec
from sycamore_core.decisions import Dispatch, Refusal
from sycamore_core.ids import EndpointId
from sycamore_core.messages import Accepted, Declined, Frame, RunReport


class EndpointLost(msgspec.Struct, frozen=True):
    """An endpoint process is silent or has restarted.

    Attributes
    ----------
    restarted
        Whether another incarnation has replaced the endpoint process. The
        state of the earlier incarnation is then permanently lost.
    """

    endpoint: EndpointId
    restarted: bool


class Superseded(msgspec.Struct, frozen=True):
    """The caller reconnected; the new connection receives the answer."""


EndpointReply = Accepted | Declined | Frame | RunReport
LocalEvent = Dispatch | EndpointLost | Refusal | Superseded
ExchangeEvent = EndpointReply | LocalEvent
