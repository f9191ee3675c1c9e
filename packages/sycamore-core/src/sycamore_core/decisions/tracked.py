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

import copy
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

    Its `view` is the last report without what this entry has there, except
    for the memory, and `sent_requests` and `sent_new_tokens` are what this
    entry has there now, so that their sums are as exact as can be known.

    Attributes
    ----------
    pending
        Prompt tokens sent by this entry whose first token has not come, by
        priority of their band.
    own_tokens, own_long_tokens
        Memory that requests of this entry lease, in tokens.
    last_requests, last_new_tokens
        What this entry had there at the report before.
    sequence_limit
        Requests beyond which the engine queues, as the reports imply.
    """

    pending: list[int] = msgspec.field(
        default_factory=lambda: [0 for _ in PromptBand],
    )
    own_tokens: int = 0
    own_long_tokens: int = 0
    last_requests: int = 0
    last_new_tokens: int = 0
    sequence_limit: float = math.inf

    @property
    def live_part(self) -> float:
        """Its weight if it takes work, else 0."""
        return self.weight if self.view.phase == EndpointPhase.LIVE else 0

    @property
    def rate(self) -> float:
        """Prefill rate, in tokens a second."""
        return self.view.service_rate or ASSUMED_RATE

    @property
    def holds_long(self) -> bool:
        """Whether a prompt of the bands `LONG` or `HUGE` is computed there."""
        return any(self.pending[PRIORITY[PromptBand.LONG] :])

    def has_room(self, request: RequestView) -> bool:
        """Tell whether the request should go there now, if any should."""
        return self.is_open(request.band) and super().has_room(request)

    def is_open(self, band: PromptBand) -> bool:
        """Tell whether a little more work of a band may be queued there."""
        if not self.live_part:
            return False
        if self.sent_requests + self.view.running >= self.sequence_limit:
            return False
        ahead = sum(self.pending[: PRIORITY[band] + 1])
        return ahead < self.rate * WINDOW_SECONDS

    def take_report(self, report: EndpointView) -> None:
        """Take a report, less what this entry is known to have there.

        The report is older than what this entry has sent since, and what it
        had at the time of the report is not known exactly: the larger of now
        and a report ago is taken off, so that nothing is counted twice.
        """
        self._learn_limit(report)
        view = copy.copy(report)
        had_requests = max(self.sent_requests, self.last_requests)
        view.running = max(0, report.running + report.waiting - had_requests)
        view.waiting = 0
        had_tokens = max(self.sent_new_tokens, self.last_new_tokens)
        view.backlog_tokens = max(0, report.backlog_tokens - had_tokens)
        if view.capacity_tokens:
            most = view.capacity_tokens - self.own_tokens
            view.free_tokens = max(0, min(view.free_tokens, most))
        view.long_tokens = max(view.long_tokens, self.own_long_tokens)
        self.last_requests = self.sent_requests
        self.last_new_tokens = self.sent_new_tokens
        self.view = view

    def add(self, request: RequestView, lease: int, new_tokens: int) -> None:
        """Note that a request was sent there."""
        self.sent_requests += 1
        self._pend(request, new_tokens)
        self._lease(request, lease)

    def note_first_token(self, request: RequestView, new_tokens: int) -> None:
        """Note that a prompt sent there has been computed."""
        self._pend(request, -new_tokens)

    def drop(self, request: RequestView, lease: int) -> None:
        """Note that a request is no longer there."""
        self.sent_requests -= 1
        self._lease(request, -lease)

    def _pend(self, request: RequestView, tokens: int) -> None:
        self.pending[PRIORITY[request.band]] += tokens
        self.sent_new_tokens += tokens

    def _lease(self, request: RequestView, lease: int) -> None:
        self.own_tokens += lease
        self.view.free_tokens = max(0, self.view.free_tokens - lease)
        if request.band == PromptBand.HUGE:
            self.own_long_tokens += lease
            self.view.long_tokens = max(0, self.view.long_tokens + lease)

    def _learn_limit(self, report: EndpointView) -> None:
        if report.waiting:
            self.sequence_limit = max(LEAST_LIMIT, report.running)
        elif report.running >= self.sequence_limit:
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
