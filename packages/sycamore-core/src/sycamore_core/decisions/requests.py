"""Properties of a request that the decisions use."""

import msgspec

from ..ids import BlockHash, EndpointId, RequestId, ServiceId, WorkspaceId
from ..states import EndpointKind, PromptBand


class RequestView(msgspec.Struct, frozen=True, kw_only=True):
    """A request as seen by the scheduling decisions.

    Attributes
    ----------
    arrival, deadline
        Monotonic times, in seconds.
    target_seconds, penalty
        Target for the time to first token, in seconds, and the fixed amount
        owed if the target is missed; 0 and 0 for a request without a target.
    weight
        Share of the workspace relative to the other workspaces.
    prefix_blocks
        Hashes of the blocks of the prompt, in prompt order.
    pinned_to
        The only endpoint that may run the request: the endpoint that its
        request id is bound to, or the home endpoint of the caller's key. If
        this endpoint cannot run the request, the request is refused and is
        never placed elsewhere.
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
        """Maximum memory that the request may need, in tokens."""
        return self.prompt_tokens + self.max_output_tokens
