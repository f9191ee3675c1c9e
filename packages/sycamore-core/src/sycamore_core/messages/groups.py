"""Messages between endpoint processes that serve a prompt as a group."""

from ..ids import GroupId, RequestId
from .base import BaseMessage


class GroupReserve(BaseMessage, frozen=True):
    """Asks a member to lease memory for one span of a prompt.

    The lease expires after `lease_seconds` unless it is renewed, so that no
    memory leaks if the leader fails.

    Attributes
    ----------
    number
        Sequence number of this message, which the answer repeats.
    """

    group: GroupId
    request_id: RequestId
    span: int
    tokens: int
    lease_seconds: float
    number: int = 0


class GroupAnswer(BaseMessage, frozen=True):
    """Whether the member holds the requested or renewed lease.

    Attributes
    ----------
    number
        Sequence number of the message that is answered. The lease period
        starts when the leader sent that message, even if the answer is late.
    """

    group: GroupId
    span: int
    granted: bool
    retry_after: float = 0
    number: int = 0


class GroupRenew(BaseMessage, frozen=True):
    """Extends the leases of a group by `lease_seconds`."""

    group: GroupId
    lease_seconds: float
    number: int = 0


class GroupRelease(BaseMessage, frozen=True):
    """Releases the memory that the group leases at this member."""

    group: GroupId


class SpanRun(BaseMessage, frozen=True):
    """Asks a member to compute the KV cache of its span.

    Attributes
    ----------
    payload
        The tokens of the span.
    first_token
        Position of the first token of the span in the prompt.
    imports
        Handle of the KV cache of the previous spans, exported by the previous
        member; empty for the first span.
    source
        Address of the engine that exports this cache.
    """

    group: GroupId
    span: int
    payload: bytes
    tokens: int
    first_token: int
    imports: str = ''
    source: str = ''


class SpanDone(BaseMessage, frozen=True):
    """The KV cache of a span is ready for export, or has failed."""

    group: GroupId
    span: int
    handle: str
    source: str
    failed: bool = False
