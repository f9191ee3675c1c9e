"""Where a request is sent.

Load pattern: conversations that come back with a longer prompt, a prompt
shared by many callers, bursts, and several entries that do not see what the
others send.

Without it: round robin computes each prompt again on every endpoint, and
sending to the endpoint that reported the least load makes all entries choose
the same one until its next report.
"""

import abc
import enum
from collections.abc import Sequence

import msgspec

from ..ids import EndpointId, ZoneId
from ..settings import FleetSettings
from ..states import EndpointPhase
from .pool import Candidate
from .requests import RequestView
from .scheduler import Draw

#: When to look again if nothing fits now, in seconds: the interval of load
#: reports, before which nothing new is known.
REPORT_SECONDS = 1.0


class PlacementReason(enum.StrEnum):
    """Why a request goes where it goes, or nowhere."""

    PREFIX = 'prefix'
    SPILL = 'spill'
    HOME = 'home'
    LEAST_LOADED = 'least_loaded'
    GROUP = 'group'
    IN_TURN = 'in_turn'
    NO_ENDPOINT = 'no_endpoint'
    MEMORY_FULL = 'memory_full'
    LONG_WORK_FULL = 'long_work_full'
    PROMPT_TOO_LONG = 'prompt_too_long'


class PlacementDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request goes.

    Attributes
    ----------
    endpoint
        The endpoint, or the leader of a group; None if it must wait.
    members
        The other endpoints of a group, in span order.
    retry_after
        When to ask again if it must wait, in seconds.
    matched_blocks
        Blocks of the prompt that the endpoint is believed to cache.
    expected_seconds
        Estimated time to first token there, in seconds.
    """

    endpoint: EndpointId | None
    reason: PlacementReason
    members: tuple[EndpointId, ...] = ()
    retry_after: float = 0
    matched_blocks: int = 0
    expected_seconds: float = 0


class Placement(abc.ABC):
    """Chooses the endpoint of a request."""

    @abc.abstractmethod
    def place(
        self,
        request: RequestView,
        candidates: Sequence[Candidate],
        now: float,
        draw: Draw,
    ) -> PlacementDecision:
        """Choose among the candidates of the request's service.

        Pass a `CandidatePool` that is kept from call to call; any other
        sequence is indexed anew each time.
        """


class RoundRobinPlacement(Placement):
    """Sends to the live endpoints in turn; the naive baseline."""

    def __init__(self) -> None:
        self.turn = 0

    def place(
        self,
        request: RequestView,
        candidates: Sequence[Candidate],
        now: float,
        draw: Draw,
    ) -> PlacementDecision:
        """Choose the next live endpoint."""
        start = self.turn
        self.turn += 1
        for position in range(start, start + len(candidates)):
            view = candidates[position % len(candidates)].view
            if view.phase == EndpointPhase.LIVE:
                return PlacementDecision(
                    endpoint=view.endpoint,
                    reason=PlacementReason.IN_TURN,
                )
        return PlacementDecision(
            endpoint=None,
            reason=PlacementReason.NO_ENDPOINT,
            retry_after=REPORT_SECONDS,
        )


class PrefixPlacement(Placement):
    """Weighs cached prefixes against load, memory and zone crossings.

    Parameters
    ----------
    zone
        Zone of this entry; endpoints elsewhere cost the way there and back.
    """

    def __init__(self, zone: ZoneId, settings: FleetSettings) -> None:
        self.zone = zone
        self.settings = settings

    @classmethod
    def from_settings(
        cls,
        settings: FleetSettings,
        zone: ZoneId,
    ) -> 'PrefixPlacement':
        """Build the placement of an entry in `zone`."""
        return cls(zone, settings)

    def update_settings(self, settings: FleetSettings) -> None:
        """Take a newer settings tree into force; what was learnt stays."""
        self.settings = settings

    def place(
        self,
        request: RequestView,
        candidates: Sequence[Candidate],
        now: float,
        draw: Draw,
    ) -> PlacementDecision:
        """Choose the less loaded of the endpoints that fit the request."""
        fitting = [
            candidate
            for candidate in candidates
            if candidate.weight > 0
            and candidate.view.phase == EndpointPhase.LIVE
            and _fits(request, candidate)
        ]
        if not fitting:
            return PlacementDecision(
                endpoint=None,
                reason=PlacementReason.MEMORY_FULL,
                retry_after=REPORT_SECONDS,
            )
        chosen = min(fitting, key=_load)
        return PlacementDecision(
            endpoint=chosen.view.endpoint,
            reason=PlacementReason.LEAST_LOADED,
        )


def _fits(request: RequestView, candidate: Candidate) -> bool:
    view = candidate.view
    if not view.capacity_tokens:
        return True
    return request.lease_tokens + candidate.sent_tokens <= view.free_tokens


def _load(candidate: Candidate) -> float:
    view = candidate.view
    tokens = view.backlog_tokens + candidate.sent_tokens
    return (tokens + view.running + candidate.sent_requests) / candidate.weight
