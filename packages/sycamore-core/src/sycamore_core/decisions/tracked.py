"""What this entry has at each endpoint, and whether more should go there.

Load pattern: reports that are a second old while hundreds of requests a second
are sent, so that a report never shows what was sent since.

Without it: an entry fills an engine's queue in the second before the report
says so. Once there, a request can no longer be overtaken by a more urgent one,
be given up at no cost, or go to another endpoint.

An endpoint is open for a band while little work of this band or a shorter one
waits there for its first token. The engine serves shorter bands first, so what
is longer does not close it for them. A full batch closes it too, because then
first tokens do not come.
"""

import copy

import msgspec

from ..ids import EndpointId
from ..states import EndpointKind, EndpointPhase, PromptBand
from .batch_limit import EXPECTED_STEPS, BatchLimit
from .ordering import PRIORITY
from .pool import Candidate, CandidatePool
from .requests import RequestView
from .views import ASSUMED_RATE, EndpointView

#: Prefill that may be queued at an engine before another request is sent, in
#: seconds: a fifth of the tightest target, 0.49 s.
WINDOW_SECONDS = 0.1
#: Backlog of other entries, in seconds of prefill, from which a long prompt is
#: taken to be in it; the windows of ten entries are a second.
LONG_SECONDS = 1.0
#: Calls at a plain service at once. At 50 ms a call it is 640 calls a second of
#: one replica, beyond which a longer queue there only makes calls late.
PLAIN_CALLS = 32


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
    open_bands
        For how many bands it is open, as `refresh` has worked out.
    last_requests, last_new_tokens
        What this entry had there at the report before.
    batch
        Requests beyond which they wait for a place in the batch.
    """

    pending: list[int] = msgspec.field(
        default_factory=lambda: [0 for _ in PromptBand],
    )
    own_tokens: int = 0
    own_long_tokens: int = 0
    open_bands: int = 0
    last_requests: int = 0
    last_new_tokens: int = 0
    batch: BatchLimit = msgspec.field(default_factory=BatchLimit)

    @property
    def live_part(self) -> float:
        """Its weight if it takes work, else 0."""
        return self.weight if self.view.phase == EndpointPhase.LIVE else 0

    @property
    def rate(self) -> float:
        """Prefill rate, in tokens a second."""
        return self.view.service_rate or ASSUMED_RATE

    @property
    def present(self) -> int:
        """Requests there, of this entry and of the others."""
        return self.sent_requests + self.view.running

    @property
    def is_calm(self) -> bool:
        """Whether no long prompt is being computed there, as far as known."""
        if any(self.pending[PRIORITY[PromptBand.LONG] :]):
            return False
        return self.view.backlog_tokens < self.rate * LONG_SECONDS

    def has_room(self, request: RequestView) -> bool:
        """Tell whether the request should go there now, if any should."""
        return self.is_open(request.band) and super().has_room(request)

    def is_open(self, band: PromptBand) -> bool:
        """Tell whether a little more work of a band may be queued there."""
        return PRIORITY[band] < self.open_bands

    def refresh(self) -> None:
        """Work out anew for how many bands it is open, shortest first."""
        self.open_bands = 0
        if not self.live_part:
            return
        if self.view.kind == EndpointKind.PLAIN:
            if self.present < PLAIN_CALLS:
                self.open_bands = len(PRIORITY)
            return
        if self.present >= self.batch.requests:
            return
        room = self.rate * WINDOW_SECONDS
        for tokens in self.pending:
            room -= tokens
            if room <= 0:
                return
            self.open_bands += 1

    def tokens_ahead(self, band: PromptBand) -> int:
        """Return the prompt tokens that the engine computes before a band."""
        return sum(self.pending[: PRIORITY[band] + 1])

    def take_report(self, report: EndpointView) -> None:
        """Take a report, less what this entry is known to have there.

        The report is older than what this entry has sent since, and what it
        had at the time of the report is not known exactly: the larger of now
        and a report ago is taken off, so that nothing is counted twice.
        """
        view = copy.copy(report)
        view.service_rate = report.telling_rate or self.view.service_rate
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

    def clear_pending(self, request: RequestView, new_tokens: int) -> None:
        """Note that a prompt sent there needs no more prefill."""
        self._pend(request, -new_tokens)

    def note_first_token(self, seconds: float, tokens_ahead: int) -> None:
        """Learn from the time that a first token has taken.

        Parameters
        ----------
        tokens_ahead
            Prompt tokens that were computed before it, its own included.
        """
        steps = EXPECTED_STEPS * self.view.step_seconds
        if steps:
            late = seconds - steps - tokens_ahead / self.rate
            self.batch.note_first_token(late, self.present)

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


class TrackedPool(CandidatePool):
    """The endpoints of one service, and which are open for short work.

    Attributes
    ----------
    calm
        Those of the open endpoints that compute no long prompt.
    open
        Endpoints that are open, in no special order; found without a walk
        over all of them, as almost all are closed when the fleet is full.
    version
        Grows with each change that may open an endpoint.
    """

    def __init__(self) -> None:
        super().__init__()
        self.open = CandidatePool()
        self.calm = CandidatePool()
        self.version = 0
        self._live: float | None = None

    def refresh(self, candidate: TrackedCandidate) -> None:
        """Sort an endpoint in after a change."""
        candidate.refresh()
        is_open = candidate.is_open(PromptBand.SHORT)
        _sort_in(self.open, candidate, wanted=is_open)
        _sort_in(self.calm, candidate, wanted=is_open and candidate.is_calm)

    def forget(self, endpoint: EndpointId) -> None:
        """Take an endpoint out."""
        for pool in (self, self.open, self.calm):
            pool.remove(endpoint)
        self.forget_live()

    def live(self) -> float:
        """Return how many endpoints take work, each counted by its weight."""
        if self._live is None:
            self._live = sum(one.live_part for one in self)
        return self._live

    def forget_live(self) -> None:
        """Count anew what takes work, as an endpoint has changed."""
        self._live = None


def _sort_in(
    pool: CandidatePool,
    candidate: TrackedCandidate,
    *,
    wanted: bool,
) -> None:
    if wanted:
        pool.put(candidate)
    else:
        pool.remove(candidate.view.endpoint)
