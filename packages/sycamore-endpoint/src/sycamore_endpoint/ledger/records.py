"""What the run ledger remembers of one request."""

import msgspec
from sycamore_core.ids import Attempt, Incarnation, RequestId
from sycamore_core.messages import Declined, Offer
from sycamore_core.states import Execution, RunState

from .answers import Answer

_IN_PROGRESS = frozenset((RunState.ACCEPTED, RunState.RUNNING))


class Owner(msgspec.Struct, frozen=True):
    """The entry process that receives an answer.

    An entry that restarts listens at the same address but knows nothing of
    the run, hence its incarnation.
    """

    address: str
    incarnation: Incarnation


class RunRecord(msgspec.Struct, kw_only=True):
    """One request at this endpoint process.

    Attributes
    ----------
    execution
        `RAN` from the moment at which the back end may have begun, over all
        attempts; `NOT_RUN` before.
    deadline
        Monotonic time by which the run must have ended, in seconds.
    forget_at
        Monotonic time from which on no packet about the request can arrive
        any more, in seconds.
    declines
        The last attempt that was declined, for each entry that offered one.
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
        """Whether the run holds memory or a place at the back end."""
        return self.state in _IN_PROGRESS

    @property
    def may_run(self) -> bool:
        """Whether a newer attempt may take the place of this one."""
        if self.state is RunState.WITHDRAWN or self.in_progress:
            return False
        if self.execution is Execution.NOT_RUN:
            return True
        offer = self.offer
        return offer is not None and offer.idempotent and self.ended_badly

    @property
    def ended_badly(self) -> bool:
        """Whether the run ended without a whole answer."""
        return self.state in {RunState.FAILED, RunState.CANCELLED}
