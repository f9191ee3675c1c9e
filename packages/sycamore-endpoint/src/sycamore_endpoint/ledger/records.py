"""Records of the run ledger."""

import msgspec
from sycamore_core.ids import Attempt, Incarnation, RequestId
from sycamore_core.messages import Declined, Offer
from sycamore_core.states import Execution, RunState

from .answers import Answer

_IN_PROGRESS = frozenset((RunState.ACCEPTED, RunState.RUNNING))


class Owner(msgspec.Struct, frozen=True):
    """Entry process that receives an answer.

    The incarnation tells a restarted entry from its predecessor: it listens
    at the same address but has no record of the run.
    """

    address: str
    incarnation: Incarnation


class RunRecord(msgspec.Struct, kw_only=True):
    """State of one request at this endpoint process.

    Attributes
    ----------
    execution
        `RAN` from the moment at which the backend may have started any
        attempt; `NOT_RUN` before.
    deadline
        Monotonic time by which the run must have ended, in seconds.
    forget_at
        Monotonic time after which no packet about the request can arrive, in
        seconds. The record is kept until then.
    declines
        The last declined attempt, by the entry that offered it.
    """

    request_id: RequestId
    attempt: Attempt
    state: RunState
    forget_at: float
    execution: Execution = Execution.NOT_RUN
    deadline: float = 0
    offer: Offer | None = None
    owner: Owner | None = None
    answer: Answer | None = None
    declines: dict[Owner, Declined] = msgspec.field(default_factory=dict)

    @property
    def in_progress(self) -> bool:
        """Whether the run is accepted or running."""
        return self.state in _IN_PROGRESS

    @property
    def accepts_retry(self) -> bool:
        """Whether a newer attempt may replace this one."""
        if self.state is RunState.WITHDRAWN or self.in_progress:
            return False
        if self.execution is Execution.NOT_RUN:
            return True
        offer = self.offer
        return offer is not None and offer.idempotent and self.ended_incomplete

    @property
    def ended_incomplete(self) -> bool:
        """Whether the run ended without a complete answer."""
        return self.state in {RunState.FAILED, RunState.CANCELLED}
