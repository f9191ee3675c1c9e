"""Interface and result types of placements."""

import abc
import enum
from collections.abc import Sequence

import msgspec

from ..ids import EndpointId
from .pool import Candidate
from .requests import RequestView
from .scheduler import Draw


class PlacementReason(enum.StrEnum):
    """Why an endpoint was chosen, or why the request must wait."""

    PREFIX = 'prefix'
    SPILL = 'spill'
    HOME = 'home'
    LEAST_LOADED = 'least_loaded'
    LONG_WORK = 'long_work'
    GROUP = 'group'
    IN_TURN = 'in_turn'
    PINNED = 'pinned'
    NO_ENDPOINT = 'no_endpoint'
    MEMORY_FULL = 'memory_full'
    LONG_WORK_FULL = 'long_work_full'
    PROMPT_TOO_LONG = 'prompt_too_long'


class PlacementDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a placement.

    Attributes
    ----------
    endpoint
        The endpoint, or the leader of a group; None if the request must wait.
    members
        The other endpoints of a group, in span order.
    retry_after
        Delay before the next placement if the request must wait, in seconds.
    matched_blocks
        Number of blocks of the prompt that the endpoint probably caches.
    new_tokens
        Number of prompt tokens that the endpoint is expected to compute.
    expected_seconds
        Estimated time to first token, in seconds.
    """

    endpoint: EndpointId | None
    reason: PlacementReason
    members: tuple[EndpointId, ...] = ()
    retry_after: float = 0
    matched_blocks: int = 0
    new_tokens: int = 0
    expected_seconds: float = 0


class Placement(abc.ABC):
    """Policy that chooses the endpoint of a request."""

    @abc.abstractmethod
    def place(
        self,
        request: RequestView,
        candidates: Sequence[Candidate],
        now: float,
        draw: Draw,
    ) -> PlacementDecision:
        """Choose among the candidates of the request's service.

        Pass the same `CandidatePool` in each call. Any other sequence is
        indexed again in each call.
        """
