"""Messages between endpoint processes that serve one prompt as a group."""

from ..ids import GroupId, RequestId
from .base import BaseMessage


class GroupReserve(BaseMessage, frozen=True):
    """Asks a member to lease memory for one span of a prompt.

    The lease expires by itself after `lease_seconds` unless it is renewed,
    so that the death of the leader leaks nothing.

    Attributes
    ----------
    number
        Number of the request, which the answer returns.
    """

    group: GroupId
    request_id: RequestId
    span: int
    tokens: int
    lease_seconds: float
    number: int = 0


class GroupAnswer(BaseMessage, frozen=True):
    """Whether the member holds the lease that was asked for or renewed.

    Attributes
    ----------
    number
        Number of the request that is answered. The leader counts the lease
        from when it sent that one, however late the answer comes.
    """

    group: GroupId
    span: int
    granted: bool
    retry_after: float = 0
    number: int = 0


class GroupRenew(BaseMessage, frozen=True):
    """Keeps the leases of a group for another `lease_seconds`."""

    group: GroupId
    lease_seconds: float
    number: int = 0


class GroupRelease(BaseMessage, frozen=True):
    """Frees the memory that the group holds at this member."""

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
        Handle of the KV cache of the spans before, exported by the member
        before; empty for the first span.
    source
        Address of the engine that exports it.
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
