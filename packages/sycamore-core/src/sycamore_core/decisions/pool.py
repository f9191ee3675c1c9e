"""Pool of candidates for placement, indexed by position and by endpoint.

Load pattern: thousands of placements per second among hundreds of endpoints.
Without the index, each placement would iterate over all endpoints to find the
two or three it needs, which costs more than the rest of the decision.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import Self

import msgspec

from ..ids import EndpointId
from .requests import RequestView
from .views import EndpointView


class Candidate(msgspec.Struct, kw_only=True):
    """An endpoint that a request may be sent to; modified in place.

    Attributes
    ----------
    sent_tokens, sent_new_tokens, sent_requests
        Memory in tokens, prompt tokens to compute, and number of requests
        that this entry has sent to the endpoint since its last report.
    weight
        Share of the usual work, from 0 (none) to 1 (all), given by the health
        of the endpoint and the rate limit on weight changes.
    """

    view: EndpointView
    sent_tokens: int = 0
    sent_new_tokens: int = 0
    sent_requests: int = 0
    weight: float = 1

    def has_capacity(self, request: RequestView) -> bool:
        """Return whether the request fits into the memory of the engine."""
        view = self.view
        if not view.capacity_tokens:
            return True
        return request.lease_tokens + self.sent_tokens <= view.free_tokens


class CandidatePool(Sequence[Candidate]):
    """The candidates of one service; each endpoint occurs once.

    Examples
    --------
    >>> view = EndpointView(endpoint='e1', service='chat', zone='a')
    >>> pool = CandidatePool([Candidate(view=view)])
    >>> pool.find('e1').weight
    1
    >>> pool.remove('e1')
    >>> len(pool)
    0
    """

    def __init__(self, candidates: Iterable[Candidate] = ()) -> None:
        self.members: list[Candidate] = []
        self.positions: dict[EndpointId, int] = {}
        #: Incremented whenever an endpoint joins or leaves.
        self.generation = 0
        for candidate in candidates:
            self.put(candidate)

    @classmethod
    def from_candidates(cls, candidates: Sequence[Candidate]) -> Self:
        """Return `candidates` itself if it is a pool, else a new pool."""
        return candidates if isinstance(candidates, cls) else cls(candidates)

    def __getitem__(self, index: int) -> Candidate:
        """Return the candidate at a position; removals change positions."""
        return self.members[index]

    def __iter__(self) -> Iterator[Candidate]:
        """Iterate over all candidates."""
        return iter(self.members)

    def __len__(self) -> int:
        """Return the number of candidates."""
        return len(self.members)

    def find(self, endpoint: EndpointId) -> Candidate | None:
        """Return the candidate of an endpoint, or None."""
        position = self.positions.get(endpoint)
        return None if position is None else self.members[position]

    def put(self, candidate: Candidate) -> None:
        """Add a candidate, or replace the candidate of the same endpoint."""
        endpoint = candidate.view.endpoint
        position = self.positions.get(endpoint)
        if position is not None:
            self.members[position] = candidate
            return
        self.positions[endpoint] = len(self.members)
        self.members.append(candidate)
        self.generation += 1

    def remove(self, endpoint: EndpointId) -> None:
        """Remove an endpoint and move the last candidate to its position."""
        position = self.positions.pop(endpoint, None)
        if position is None:
            return
        last = self.members.pop()
        if position < len(self.members):
            self.members[position] = last
            self.positions[last.view.endpoint] = position
        self.generation += 1

    def record_send(
        self,
        endpoint: EndpointId,
        request: RequestView,
        new_tokens: int,
    ) -> None:
        """Record a request sent to an endpoint.

        Parameters
        ----------
        new_tokens
            Prompt tokens that the endpoint does not cache.
        """
        candidate = self.find(endpoint)
        if candidate is None:
            return
        candidate.sent_tokens += request.lease_tokens
        candidate.sent_new_tokens += new_tokens
        candidate.sent_requests += 1

    def apply_report(self, view: EndpointView) -> None:
        """Apply a newer report, which includes the requests sent before."""
        candidate = self.find(view.endpoint)
        weight = 1 if candidate is None else candidate.weight
        self.put(Candidate(view=view, weight=weight))
