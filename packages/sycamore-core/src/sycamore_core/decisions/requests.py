"""What the decisions know of a request."""

import msgspec

from ..ids import BlockHash, EndpointId, RequestId, ServiceId, WorkspaceId
from ..states import EndpointKind, PromptBand


class RequestView(msgspec.Struct, frozen=True, kw_only=True):
    """A request as the decisions see it.

    Attributes
    ----------
    arrival, deadline
        Monotonic times, in seconds.
    target_seconds, penalty
        Time to first token that is committed to, in seconds, and the fixed
        amount owed if it is missed; 0 and 0 if nothing is committed to.
    weight
        Share of the workspace relative to the others.
    prefix_blocks
        Hashes of the blocks of the prompt, the first block first.
    pinned_to
        The only endpoint that may run the request: the one that its id is
        bound to, or the home of its caller's key. If that endpoint cannot,
        the request is refused; it is never placed elsewhere.
    """

    request_id: RequestId
    workspace: WorkspaceId
    service: ServiceId
    kind: EndpointKind = EndpointKind.MODEL
    band: PromptBand
    prompt_tokens: int
    max_output_tokens: int
    arrival: float
    deadline: float
    idempotent: bool = True
    target_seconds: float = 0
    penalty: float = 0
    weight: float = 1
    prefix_blocks: tuple[BlockHash, ...] = ()
    pinned_to: EndpointId | None = None

    @property
    def lease_tokens(self) -> int:
        """Memory that the request may need at most, in tokens."""
        return self.prompt_tokens + self.max_output_tokens
