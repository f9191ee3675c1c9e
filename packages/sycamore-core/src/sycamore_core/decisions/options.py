"""Endpoints among which a placement chooses.

Load pattern: hundreds of endpoints, thousands of placements a second, and
entries that all hold the same report.

Without it: looking at every endpoint costs more than the whole decision may,
and all entries find the same endpoint the least loaded until its next report.
Two that are drawn at random differ from entry to entry.
"""

from collections.abc import Callable, Iterable

import msgspec

from ..ids import EndpointId
from ..states import EndpointPhase
from .affinity import Matches
from .placement_base import PlacementReason
from .pool import Candidate, CandidatePool
from .requests import RequestView
from .scheduler import Draw

#: Endpoints drawn at random for each request. Four instead of two changed the
#: p95 of no measured load by more than a tenth.
SAMPLE_CHOICES = 2
#: Draws at most to find them among those that are full or ejected.
SAMPLE_DRAWS = 8
#: Holders of a prefix that are considered: the one that caches most, and two
#: drawn at random, so that the many holders of a hot prefix share its load.
HOLDER_CHOICES = 3
#: Endpoints looked at, from a random one on, if none that was drawn fits.
SCAN_ENDPOINTS = 32


Fits = Callable[[Candidate, RequestView], bool]


class Option(msgspec.Struct, frozen=True):
    """An endpoint that a request may go to, and why it is considered."""

    candidate: Candidate
    matched_blocks: int
    source: PlacementReason


class Shortlist:
    """The options of one request.

    Parameters
    ----------
    matches
        What is known of the beginning of its prompt.
    """

    def __init__(
        self,
        request: RequestView,
        pool: CandidatePool,
        matches: Matches,
        draw: Draw,
    ) -> None:
        self.request = request
        self.pool = pool
        self.matches = matches
        self.draw = draw
        #: Whether an endpoint may hold the request; long work has its own.
        self.fits: Fits = _has_room
        self.found: dict[EndpointId, Option] = {}

    def add_holders(self) -> None:
        """Add endpoints that are believed to cache the prompt."""
        for endpoint in self._drawn_holders():
            holder = self.pool.find(endpoint)
            if holder is not None and self._is_open(holder):
                self._add(holder, PlacementReason.PREFIX)

    def add_homes(self, homes: Iterable[Candidate], presumed: int) -> None:
        """Add the homes of the prompt, presumed to cache some blocks."""
        for home in homes:
            if self._is_open(home):
                self._add(home, PlacementReason.HOME, presumed)

    def add_sample(self) -> None:
        """Add endpoints drawn at random."""
        missing = SAMPLE_CHOICES
        for _ in range(min(SAMPLE_DRAWS, len(self.pool))):
            drawn = self.pool[position(self.draw, len(self.pool))]
            if drawn.view.endpoint in self.found or not self._is_open(drawn):
                continue
            self._add(drawn, PlacementReason.LEAST_LOADED)
            missing -= 1
            if not missing:
                break

    def add_any(self) -> None:
        """Add the first of some endpoints that has room, if any."""
        size = len(self.pool)
        start = position(self.draw, size) if size else 0
        for offset in range(min(SCAN_ENDPOINTS, size)):
            candidate = self.pool[(start + offset) % size]
            if is_usable(candidate) and self.fits(candidate, self.request):
                self._add(candidate, PlacementReason.LEAST_LOADED)
                break

    def _add(
        self,
        candidate: Candidate,
        source: PlacementReason,
        presumed: int = 0,
    ) -> None:
        endpoint = candidate.view.endpoint
        if endpoint not in self.found:
            matched = self.matches.blocks.get(endpoint, presumed)
            self.found[endpoint] = Option(candidate, matched, source)

    def _drawn_holders(self) -> list[EndpointId]:
        holders = list(self.matches.blocks)
        if len(holders) <= HOLDER_CHOICES:
            return holders
        drawn = [
            holders[position(self.draw, len(holders))]
            for _ in range(HOLDER_CHOICES - 1)
        ]
        return [holders[0], *drawn]

    def _is_open(self, candidate: Candidate) -> bool:
        # An endpoint of weight 0.3 is an option for three requests in ten.
        # Its weight does not enter the comparison of loads, or one that
        # returns would get nothing as long as any other is idle.
        if not is_usable(candidate) or not self.fits(candidate, self.request):
            return False
        return candidate.weight >= 1 or self.draw() < candidate.weight


def _has_room(candidate: Candidate, request: RequestView) -> bool:
    return candidate.has_room(request)


def position(draw: Draw, size: int) -> int:
    """Return a position drawn at random; a draw of 1 is the last one."""
    return min(int(draw() * size), size - 1)


def is_usable(candidate: Candidate) -> bool:
    """Tell whether an endpoint takes new work at all."""
    return candidate.weight > 0 and candidate.view.phase == EndpointPhase.LIVE
