"""What this entry has at each endpoint, and whether more should go there.

Load pattern: reports that are a second old while hundreds of requests a second
are sent, so that a report never shows what was sent since.

Without it: an entry fills an engine's queue in the second before the report
says so. Once there, a request can no longer be overtaken by a more urgent one,
be given up at no cost, or go to another endpoint.

An endpoint is open for a band while little work of this band or a shorter one
is before its prefill, and while its batch has room. The engine serves shorter
bands first, so what is longer does not close it for them.
"""

import math

import msgspec

from ..states import EndpointPhase, PromptBand
from .estimates import ASSUMED_RATE
from .ordering import PRIORITY
from .pool import Candidate, CandidatePool
from .requests import RequestView
from .views import EndpointView

#: Prefill that may be queued at an engine, in seconds: one chunk of 4,096
#: tokens at 20,000 a second, so that the next step is always full while the
#: one after it is still decided here.
WINDOW_SECONDS = 0.2
#: How many sequences more an engine is tried with after a report that shows
#: no queue at its limit.
LIMIT_STEP = 1
#: Least limit of sequences at an endpoint.
LEAST_LIMIT = 2


class TrackedCandidate(Candidate, kw_only=True):
    """An endpoint with what this entry has there; changed in place.

    Attributes
    ----------
    pending
        Prompt tokens sent by this entry whose first token has not come, by
        priority of their band.
    own_requests, own_tokens, own_long_tokens
        Requests of this entry there, and the memory they lease, in tokens.
    other_requests
        Requests of other entries there, as the last report implies.
    sequence_limit
        Requests beyond which the engine queues, as the reports imply.
    """

    pending: list[int] = msgspec.field(
        default_factory=lambda: [0 for _ in PromptBand]
    )
    own_requests: int = 0
    own_tokens: int = 0
    own_long_tokens: int = 0
    last_own_requests: int = 0
    other_requests: int = 0
    sequence_limit: float = math.inf

    @property
    def live_part(self) -> float:
        """Its weight if it takes work, else 0."""
        return self.weight if self.view.phase == EndpointPhase.LIVE else 0

    @property
    def holds_long(self) -> bool:
        """Whether a prompt of the bands `LONG` or `HUGE` is computed there."""
        return any(self.pending[PRIORITY[PromptBand.LONG] :])

    def has_room(self, request: RequestView) -> bool:
        """Tell whether the request should go there now, if any should."""
        if not self.is_open(request.band):
            return False
        view = self.view
        if not view.capacity_tokens:
            return True
        return request.lease_tokens <= view.free_tokens

    def is_open(self, band: PromptBand) -> bool:
        """Tell whether a little more work of a band may be queued there."""
        if self.view.phase != EndpointPhase.LIVE or self.weight <= 0:
            return False
        if self.own_requests + self.other_requests >= self.sequence_limit:
            return False
        ahead = sum(self.pending[: PRIORITY[band] + 1])
        return ahead < self.rate * WINDOW_SECONDS

    @property
    def rate(self) -> float:
        """Prefill rate, in tokens a second."""
        return self.view.service_rate or ASSUMED_RATE

    def take_report(self, view: EndpointView) -> None:
        """Take a report, corrected by what this entry knows exactly."""
        self._take_batch(view)
        if view.capacity_tokens:
            most = view.capacity_tokens - self.own_tokens
            view.free_tokens = max(0, min(view.free_tokens, most))
        view.long_tokens = max(view.long_tokens, self.own_long_tokens)
        self.view = view

    def add(self, request: RequestView, lease: int, new_tokens: int) -> None:
        """Note that a request was sent there."""
        self.pending[PRIORITY[request.band]] += new_tokens
        self.own_requests += 1
        self._lease(request, lease)

    def note_first_token(self, request: RequestView, new_tokens: int) -> None:
        """Note that a prompt sent there has been computed."""
        place = PRIORITY[request.band]
        self.pending[place] = max(0, self.pending[place] - new_tokens)

    def drop(self, request: RequestView, lease: int) -> None:
        """Note that a request is no longer there."""
        self.own_requests -= 1
        self._lease(request, -lease)

    def _lease(self, request: RequestView, lease: int) -> None:
        self.own_tokens += lease
        self.view.free_tokens = max(0, self.view.free_tokens - lease)
        if request.band == PromptBand.HUGE:
            self.own_long_tokens += lease
            self.view.long_tokens = max(0, self.view.long_tokens + lease)

    def _take_batch(self, view: EndpointView) -> None:
        seen = view.running + view.waiting
        own = max(self.own_requests, self.last_own_requests)
        self.last_own_requests = self.own_requests
        self.other_requests = max(0, seen - own)
        if view.waiting:
            self.sequence_limit = max(LEAST_LIMIT, view.running)
        elif view.running >= self.sequence_limit:
            self.sequence_limit += LIMIT_STEP


class TrackedPool(CandidatePool):
    """The endpoints of one service, and which are open for short work.

    Attributes
    ----------
    open
        Endpoints that are open, in no special order; found without a walk
        over all of them, as almost all are closed when the fleet is full.
    version
        Grows with each change that may open an endpoint.
    """

    def __init__(self) -> None:
        super().__init__()
        self.open = CandidatePool()
        self.version = 0
        self._live: float | None = None

    def refresh(self, candidate: TrackedCandidate) -> None:
        """Sort an endpoint in after a change."""
        if candidate.is_open(PromptBand.SHORT):
            self.open.put(candidate)
        else:
            self.open.remove(candidate.view.endpoint)

    def live(self) -> float:
        """Return how many endpoints take work, each counted by its weight."""
        if self._live is None:
            self._live = sum(one.live_part for one in self)
        return self._live

    def forget_live(self) -> None:
        """Count anew what takes work, as an endpoint has changed."""
        self._live = None
