"""Messages about one request between an entry and an endpoint process."""

import msgspec

from ..ids import (
    Attempt,
    BlockHash,
    EndpointId,
    IdempotencyKey,
    Incarnation,
    RequestId,
    ServiceId,
    WorkspaceId,
)
from ..states import CancelReason, Execution, RefusalReason, RunState
from .base import BaseMessage


class PlainCall(msgspec.Struct, frozen=True, array_like=True):
    """A call to a plain service, as the caller made it."""

    method: str
    path: str
    content_type: str = 'application/json'


class PlainReply(msgspec.Struct, frozen=True, array_like=True):
    """Status of a plain service's answer; its body follows in frames."""

    status: int
    content_type: str = 'application/json'


class Offer(BaseMessage, frozen=True):
    """Asks an endpoint process to run a request.

    Attributes
    ----------
    incarnation
        Start of the endpoint process that is meant; another one declines, so
        that an offer that arrives late or twice cannot run after a restart.
    budget
        Time that is left to the request when the offer is sent, in seconds.
        Clocks of two instances may differ, hence no point in time.
    prompt_tokens, max_output_tokens
        Size of the request, in tokens.
    idempotent
        Whether the request may run more than once.
    bound
        Whether `request_id` was minted by this incarnation for a reservation.
    idempotency_key
        The caller's own key of a request in one step, empty if none.
    priority
        Lower is served first by the engine.
    prefix_blocks
        Hashes of the blocks of the prompt, the first block first.
    payload
        The prompt, or the body of a plain call.
    settings_version
        The version on which the entry decided.
    members
        Addresses of the other endpoint processes, in span order, when the
        prompt is served by a group that this endpoint leads.
    """

    request_id: RequestId
    attempt: Attempt
    incarnation: Incarnation
    workspace: WorkspaceId
    service: ServiceId
    budget: float
    prompt_tokens: int
    max_output_tokens: int
    idempotent: bool
    payload: bytes
    priority: int = 0
    bound: bool = False
    idempotency_key: IdempotencyKey = IdempotencyKey('')
    prefix_blocks: tuple[BlockHash, ...] = ()
    plain_call: PlainCall | None = None
    settings_version: int = 0
    members: tuple[str, ...] = ()


class Accepted(BaseMessage, frozen=True):
    """The endpoint process has leased memory and recorded the run."""

    request_id: RequestId
    attempt: Attempt
    lease_tokens: int = 0


class Declined(BaseMessage, frozen=True):
    """The endpoint process does not run this attempt.

    Attributes
    ----------
    execution
        What the endpoint process knows of the request: `NOT_RUN` if neither
        this attempt nor an earlier one ran here.
    retry_after
        When to come back, in seconds.
    """

    request_id: RequestId
    attempt: Attempt
    reason: RefusalReason
    retry_after: float = 0
    execution: Execution = Execution.NOT_RUN


class Withdraw(BaseMessage, frozen=True):
    """Bars a request whose offer was not answered from ever starting."""

    request_id: RequestId
    attempt: Attempt


class RunReport(BaseMessage, frozen=True):
    """Answers `Withdraw` and `Attach` with the state in the run ledger.

    Attributes
    ----------
    endpoint
        Endpoint whose process reports; the receiver fills it in.
    """

    request_id: RequestId
    attempt: Attempt
    state: RunState
    execution: Execution
    endpoint: EndpointId = EndpointId('')


class Cancel(BaseMessage, frozen=True):
    """Gives up a run; its memory lease is freed."""

    request_id: RequestId
    reason: CancelReason


class Attach(BaseMessage, frozen=True):
    """Asks for the frames of a run again, from `after` + 1 on.

    Sent for a gap, and by an entry through which a caller comes back. The
    entry that attached last receives the frames.
    """

    request_id: RequestId
    after: int = -1


class Reserve(BaseMessage, frozen=True):
    """Asks an endpoint process to mint an id that is bound to it."""

    nonce: str
    workspace: WorkspaceId
    service: ServiceId


class Reserved(BaseMessage, frozen=True):
    """The id minted for a reservation; nothing has run."""

    nonce: str
    request_id: RequestId
    expires_in: float
