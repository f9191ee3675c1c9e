"""What reaches an exchange: decisions, messages and lost endpoints."""

import msgspec
from sycamore_core.decisions import Dispatch, Refusal
from sycamore_core.ids import EndpointId
from sycamore_core.messages import Accepted, Declined, Frame, RunReport


class EndpointLost(msgspec.Struct, frozen=True):
    """An endpoint process is silent or has restarted.

    Attributes
    ----------
    restarted
        Whether another incarnation answers in its place, in which case what
        the earlier one knew is gone for good.
    """

    endpoint: EndpointId
    restarted: bool


class Superseded(msgspec.Struct, frozen=True):
    """The caller came back on another connection, which gets the answer."""


Reply = Accepted | Declined | Frame | RunReport
Notice = Dispatch | EndpointLost | Refusal | Superseded
ExchangeEvent = Reply | Notice
