"""Shortlist of the endpoints among which a placement chooses.

Load pattern: hundreds of endpoints, thousands of placements per second, and
entries that all have received the same load report.

Without the shortlist, the comparison of all endpoints takes more time than is
available for a decision, and all entries select the same least loaded endpoint
until its next report. Two endpoints drawn at random differ between entries.
"""

from collections.abc import Callable, Iterable

import msgspec

from ..ids import EndpointId
from ..states import EndpointPhase
from .affinity import PrefixMatches
from .placement_base import PlacementReason
from .pool import Candidate, CandidatePool
from .requests import RequestView
from .scheduler import Draw

#: Number of endpoints drawn at random for each request. With four instead of
#: two, the p95 of the time to first token changed by at most a tenth under each
#: measured load.
SAMPLE_CHOICES = 2
#: Maximum number of draws to find `SAMPLE_CHOICES` endpoints. Full or ejected
#: endpoints are drawn as well.
MAX_SAMPLE_DRAWS = 8
#: Maximum number of holders of a prefix to consider: the holder that caches
#: most, and two drawn at random, so that all holders of a hot prefix share its
#: load.
MAX_HOLDER_CHOICES = 3
#: Maximum number of endpoints scanned, from a random position, if no endpoint
#: that was drawn fits.
MAX_SCANNED_ENDPOINTS = 32


CapacityCheck = Callable[[Candidate, RequestView], bool]


class PlacementOption(msgspec.Struct, frozen=True):
    """An endpoint that a request may be sent to, and why it is considered."""

    candidate: Candidate
    matched_blocks: int
    source: PlacementReason


class Shortlist:
    """Placement options of one request.

    Parameters
    ----------
    matches
        Result of looking up the prompt in the prefix index.
    """

    def __init__(
        self,
        request: RequestView,
        pool: CandidatePool,
        matches: PrefixMatches,
        draw: Draw,
    ) -> None:
        self.request = request
        self.pool = pool
        self.matches = matches
        self.draw = draw
        #: Whether an endpoint has the capacity for the request. Placements of
        #: long work replace this check.
        self.fits: CapacityCheck = _has_capacity
        self.options: dict[EndpointId, PlacementOption] = {}

    def add_holders(self) -> None:
        """Add endpoints that probably cache a prefix of the prompt."""
        for endpoint in self._drawn_holders():
            holder = self.pool.find(endpoint)
            if holder is not None and self._is_open(holder):
                self._add(holder, PlacementReason.PREFIX)

    def add_homes(
        self, homes: Iterable[Candidate], assumed_blocks: int
    ) -> None:
        """Add the home endpoints, which are assumed to cache some blocks."""
        for home in homes:
            if self._is_open(home):
                self._add(home, PlacementReason.HOME, assumed_blocks)

    def add_sample(self) -> None:
        """Add endpoints drawn at random."""
        remaining = SAMPLE_CHOICES
        for _ in range(min(MAX_SAMPLE_DRAWS, len(self.pool))):
            drawn = self.pool[random_position(self.draw, len(self.pool))]
            if drawn.view.endpoint in self.options or not self._is_open(drawn):
                continue
            self._add(drawn, PlacementReason.LEAST_LOADED)
            remaining -= 1
            if not remaining:
                break

    def add_any(self) -> None:
        """Add the first scanned endpoint that has capacity, if any."""
        size = len(self.pool)
        start = random_position(self.draw, size) if size else 0
        for offset in range(min(MAX_SCANNED_ENDPOINTS, size)):
            candidate = self.pool[(start + offset) % size]
            if accepts_work(candidate) and self.fits(candidate, self.request):
                self._add(candidate, PlacementReason.LEAST_LOADED)
                break

    def _add(
        self,
        candidate: Candidate,
        source: PlacementReason,
        assumed_blocks: int = 0,
    ) -> None:
        endpoint = candidate.view.endpoint
        if endpoint not in self.options:
            matched = self.matches.blocks.get(endpoint, assumed_blocks)
            self.options[endpoint] = PlacementOption(candidate, matched, source)

    def _drawn_holders(self) -> list[EndpointId]:
        holders = list(self.matches.blocks)
        if len(holders) <= MAX_HOLDER_CHOICES:
            return holders
        drawn = [
            holders[random_position(self.draw, len(holders))]
            for _ in range(MAX_HOLDER_CHOICES - 1)
        ]
        return [holders[0], *drawn]

    def _is_open(self, candidate: Candidate) -> bool:
        # An endpoint of weight 0.3 is an option for three requests in ten.
        # The weight is not part of the comparison of loads; otherwise a
        # returning endpoint would receive no request while another is idle.
        if not accepts_work(candidate) or not self.fits(
            candidate, self.request
        ):
            return False
        return candidate.weight >= 1 or self.draw() < candidate.weight


def _has_capacity(candidate: Candidate, request: RequestView) -> bool:
    return candidate.has_capacity(request)


def random_position(draw: Draw, size: int) -> int:
    """Return a random position; a draw of 1 gives the last position."""
    return min(int(draw() * size), size - 1)


def accepts_work(candidate: Candidate) -> bool:
    """Return whether an endpoint accepts any new work."""
    return candidate.weight > 0 and candidate.view.phase == EndpointPhase.LIVE
