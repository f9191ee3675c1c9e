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
    """A call to a plain service, as received from the caller."""

    method: str
    path: str
    content_type: str = 'application/json'


class PlainReply(msgspec.Struct, frozen=True, array_like=True):
    """Status of the answer of a plain service; the body follows in frames."""

    status: int
    content_type: str = 'application/json'


class Offer(BaseMessage, frozen=True):
    """Asks an endpoint process to run a request.

    Attributes
    ----------
    incarnation
        Incarnation of the endpoint process that is addressed. Any other
        incarnation declines, so that an offer that arrives late or twice
        cannot run after a restart.
    budget
        Time left for the request when the offer is sent, in seconds. It is a
        duration because the clocks of two instances may differ.
    prompt_tokens, max_output_tokens
        Length of the prompt and maximum length of the answer, in tokens.
    idempotent
        Whether the request may run more than once.
    bound
        Whether this incarnation created `request_id` for a reservation.
    idempotency_key
        Idempotency key that the caller sent with a request without a
        reservation; empty if there is none.
    priority
        Priority at the engine; lower values are served first.
    prefix_blocks
        Hashes of the blocks of the prompt, in order.
    payload
        The prompt, or the body of a plain call.
    settings_version
        Settings version on which the entry based its decision.
    members
        Addresses of the other endpoint processes, in span order, if a group
        led by this endpoint serves the prompt.
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
        Execution of the request at the endpoint process: `NOT_RUN` if neither
        this attempt nor an earlier attempt ran there.
    retry_after
        Time after which to retry, in seconds.
    """

    request_id: RequestId
    attempt: Attempt
    reason: RefusalReason
    retry_after: float = 0
    execution: Execution = Execution.NOT_RUN


class Withdraw(BaseMessage, frozen=True):
    """Prevents the start of a request whose offer was not answered."""

    request_id: RequestId
    attempt: Attempt


class RunReport(BaseMessage, frozen=True):
    """Answers `Withdraw` and `Attach` with the state in the run ledger.

    Attributes
    ----------
    endpoint
        Endpoint of the reporting process; set by the receiver.
    """

    request_id: RequestId
    attempt: Attempt
    state: RunState
    execution: Execution
    endpoint: EndpointId = EndpointId('')


class Cancel(BaseMessage, frozen=True):
    """Cancels a run and releases its memory lease."""

    request_id: RequestId
    reason: CancelReason


class Attach(BaseMessage, frozen=True):
    """Requests the frames of a run again, starting at `after` + 1.

    Sent after a gap in the frames, and by an entry through which a caller
    resumes a stream. The entry that attached last receives the frames.
    """

    request_id: RequestId
    after: int = -1


class Reserve(BaseMessage, frozen=True):
    """Asks an endpoint process to create a request id bound to it."""

    nonce: str
    workspace: WorkspaceId
    service: ServiceId


class Reserved(BaseMessage, frozen=True):
    """The request id created for a reservation; nothing has run."""

    nonce: str
    request_id: RequestId
    expires_in: float
