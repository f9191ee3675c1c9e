"""Requests that were sent to endpoints and have not ended."""

import msgspec

from ..ids import EndpointId
from .flow import WaitingRequest
from .tracked import TrackedCandidate


class SentRequest(msgspec.Struct, kw_only=True, eq=False):
    """A request that was offered to an endpoint or runs there.

    Attributes
    ----------
    waiting
        The request with its due time and cost.
    endpoint
        Endpoint that serves the request.
    members
        Other endpoints of its group; empty if one engine runs the request.
    new_tokens
        Prompt tokens that each endpoint is expected to compute.
    lease_tokens
        Memory that the request is expected to use at each endpoint, in tokens.
    charged_candidates
        Candidates that were charged for the request. An endpoint that was
        removed and added again is a new candidate without this charge.
    tokens_ahead
        Prompt tokens that the engine computes before the first token.
    sent_at, first_token_at
        Monotonic times, in seconds; `first_token_at` is None until the first
        token arrives.
    """

    waiting: WaitingRequest
    endpoint: EndpointId
    members: tuple[EndpointId, ...]
    new_tokens: int
    lease_tokens: int
    sent_at: float
    charged_candidates: tuple[TrackedCandidate, ...] = ()
    tokens_ahead: int = 0
    first_token_at: float | None = None

    @property
    def endpoints(self) -> tuple[EndpointId, ...]:
        """All endpoints that run a part of the request."""
        return (*self.members, self.endpoint)
