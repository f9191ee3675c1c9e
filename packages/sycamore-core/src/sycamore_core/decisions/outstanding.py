"""Requests that were sent to endpoints and are not over."""

import msgspec

from ..ids import EndpointId
from .flow import Waiting
from .tracked import TrackedCandidate


class Sent(msgspec.Struct, kw_only=True, eq=False):
    """A request that was offered to an endpoint or runs there.

    Attributes
    ----------
    members
        Other endpoints of its group; empty for one engine.
    new_tokens
        Prompt tokens that are expected to be computed, by each endpoint.
    lease_tokens
        Memory that it is expected to hold at each endpoint, in tokens.
    holders
        What was charged for it; an endpoint that was removed and came back
        since is another one and was charged nothing.
    tokens_ahead
        Prompt tokens that its engine computes before its first token.
    sent_at, first_token_at
        Times, in seconds; the second one None until the first token comes.
    """

    waiting: Waiting
    endpoint: EndpointId
    members: tuple[EndpointId, ...]
    new_tokens: int
    lease_tokens: int
    sent_at: float
    holders: tuple[TrackedCandidate, ...] = ()
    tokens_ahead: int = 0
    first_token_at: float | None = None

    @property
    def endpoints(self) -> tuple[EndpointId, ...]:
        """All endpoints that hold a part of it."""
        return (*self.members, self.endpoint)
