"""Work that this entry has sent to each endpoint, and admission of more work.

Load pattern: load reports are a second old while hundreds of requests per
second are sent, so a report does not include the latest requests.

Without tracking, an entry fills the queue of an engine before the report shows
it. A request in that queue can no longer be overtaken by a more urgent one,
cancelled at no cost, or sent to another endpoint.

An endpoint is open for a band while little work of this band or of shorter
bands waits there for its first token. The engine serves shorter bands first, so
longer prompts do not close the endpoint for shorter ones. A full batch also
closes the endpoint, because first tokens are then delayed.
"""

import copy

import msgspec

from ..ids import EndpointId
from ..states import EndpointKind, EndpointPhase, PromptBand
from .batch_limit import EXPECTED_STEPS, BatchLimit
from .ordering import ENGINE_PRIORITIES
from .pool import Candidate, CandidatePool
from .requests import RequestView
from .views import ASSUMED_PREFILL_RATE, EndpointView

#: Prefill that may be queued at an engine while further requests are sent, in
#: seconds: a fifth of the tightest target, which is 0.49 s.
PREFILL_WINDOW_SECONDS = 0.1
#: Backlog of other entries, in seconds of prefill, that is assumed to contain a
#: long prompt. Without long prompts, ten entries that each fill their window of
#: `PREFILL_WINDOW_SECONDS` cause a backlog of one second.
LONG_BACKLOG_SECONDS = 1.0
#: Maximum number of concurrent calls at a plain service. At 50 ms per call, one
#: replica serves 640 calls per second; a longer queue only delays the calls.
MAX_PLAIN_CALLS = 32


class TrackedCandidate(Candidate, kw_only=True):
    """An endpoint with the work that this entry has sent; modified in place.

    Except for the memory, `view` is the last report minus the work of this
    entry. `sent_requests` and `sent_new_tokens` are the work that this entry
    has at the endpoint now. The sum of both estimates the total work at the
    endpoint.

    Attributes
    ----------
    pending
        Prompt tokens sent by this entry whose first token has not arrived, by
        priority of their band.
    own_tokens, own_long_tokens
        Memory leased by requests of this entry, in tokens.
    open_bands
        Number of bands for which the endpoint is open, set by `refresh`.
    requests_at_report, new_tokens_at_report
        Work of this entry at the time of the last report.
    batch_limit
        Number of requests above which requests wait for a place in the batch.
    """

    pending: list[int] = msgspec.field(
        default_factory=lambda: [0 for _ in PromptBand],
    )
    own_tokens: int = 0
    own_long_tokens: int = 0
    open_bands: int = 0
    requests_at_report: int = 0
    new_tokens_at_report: int = 0
    batch_limit: BatchLimit = msgspec.field(default_factory=BatchLimit)

    @property
    def live_weight(self) -> float:
        """Weight of the endpoint if it accepts work, otherwise 0."""
        return self.weight if self.view.phase == EndpointPhase.LIVE else 0

    @property
    def rate(self) -> float:
        """Prefill rate, in tokens per second."""
        return self.view.service_rate or ASSUMED_PREFILL_RATE

    @property
    def request_count(self) -> int:
        """Number of requests at the endpoint, of this and other entries."""
        return self.sent_requests + self.view.running

    @property
    def has_no_long_prompt(self) -> bool:
        """Whether the endpoint probably computes no long prompt."""
        if any(self.pending[ENGINE_PRIORITIES[PromptBand.LONG] :]):
            return False
        return self.view.backlog_tokens < self.rate * LONG_BACKLOG_SECONDS

    def has_capacity(self, request: RequestView) -> bool:
        """Return whether the endpoint is open and has the memory."""
        return self.is_open(request.band) and super().has_capacity(request)

    def is_open(self, band: PromptBand) -> bool:
        """Return whether more work of a band may be queued at the endpoint."""
        return ENGINE_PRIORITIES[band] < self.open_bands

    def refresh(self) -> None:
        """Recompute the number of bands for which the endpoint is open."""
        self.open_bands = 0
        if not self.live_weight:
            return
        if self.view.kind == EndpointKind.PLAIN:
            if self.request_count < MAX_PLAIN_CALLS:
                self.open_bands = len(ENGINE_PRIORITIES)
            return
        if self.request_count >= self.batch_limit.requests:
            return
        window_tokens = self.rate * PREFILL_WINDOW_SECONDS
        for tokens in self.pending:
            window_tokens -= tokens
            if window_tokens <= 0:
                return
            self.open_bands += 1

    def tokens_ahead(self, band: PromptBand) -> int:
        """Return the pending prompt tokens of a band and shorter bands."""
        return sum(self.pending[: ENGINE_PRIORITIES[band] + 1])

    def apply_report(self, report: EndpointView) -> None:
        """Apply a report, minus the work of this entry.

        The report does not include the work sent since it was made, and the
        work of this entry at that time is not known exactly. The larger of the
        current value and the value at the previous report is subtracted, so
        that no work is counted twice.
        """
        view = copy.copy(report)
        view.service_rate = report.saturated_rate or self.view.service_rate
        own_requests = max(self.sent_requests, self.requests_at_report)
        view.running = max(0, report.running + report.waiting - own_requests)
        view.waiting = 0
        own_new_tokens = max(self.sent_new_tokens, self.new_tokens_at_report)
        view.backlog_tokens = max(0, report.backlog_tokens - own_new_tokens)
        if view.capacity_tokens:
            max_free_tokens = view.capacity_tokens - self.own_tokens
            view.free_tokens = max(0, min(view.free_tokens, max_free_tokens))
        view.long_tokens = max(view.long_tokens, self.own_long_tokens)
        self.requests_at_report = self.sent_requests
        self.new_tokens_at_report = self.sent_new_tokens
        self.view = view

    def add_request(
        self, request: RequestView, lease_tokens: int, new_tokens: int
    ) -> None:
        """Record that a request was sent to the endpoint."""
        self.sent_requests += 1
        self._add_pending(request, new_tokens)
        self._add_lease(request, lease_tokens)

    def clear_pending(self, request: RequestView, new_tokens: int) -> None:
        """Record that a prompt needs no more prefill at the endpoint."""
        self._add_pending(request, -new_tokens)

    def record_first_token(self, seconds: float, tokens_ahead: int) -> None:
        """Update the batch limit from a time to first token.

        Parameters
        ----------
        seconds
            Time to first token, in seconds.
        tokens_ahead
            Prompt tokens that were computed before the first token, including
            those of the request itself.
        """
        steps = EXPECTED_STEPS * self.view.step_seconds
        if steps:
            delay_seconds = seconds - steps - tokens_ahead / self.rate
            self.batch_limit.record_first_token(
                delay_seconds, self.request_count
            )

    def remove_request(self, request: RequestView, lease_tokens: int) -> None:
        """Record that a request is no longer at the endpoint."""
        self.sent_requests -= 1
        self._add_lease(request, -lease_tokens)

    def _add_pending(self, request: RequestView, tokens: int) -> None:
        self.pending[ENGINE_PRIORITIES[request.band]] += tokens
        self.sent_new_tokens += tokens

    def _add_lease(self, request: RequestView, lease_tokens: int) -> None:
        self.own_tokens += lease_tokens
        self.view.free_tokens = max(0, self.view.free_tokens - lease_tokens)
        if request.band == PromptBand.HUGE:
            self.own_long_tokens += lease_tokens
            self.view.long_tokens = max(0, self.view.long_tokens + lease_tokens)


class TrackedPool(CandidatePool):
    """The endpoints of one service, with those that are open for short work.

    Attributes
    ----------
    open_without_long
        The open endpoints that compute no long prompt.
    open
        The open endpoints, in arbitrary order. They are kept separately
        because almost all endpoints are closed when the fleet is full, and
        iterating over all of them would be slow.
    version
        Incremented with each change that may open an endpoint.
    """

    def __init__(self) -> None:
        super().__init__()
        self.open = CandidatePool()
        self.open_without_long = CandidatePool()
        self.version = 0
        self._live_weight: float | None = None

    def refresh(self, candidate: TrackedCandidate) -> None:
        """Update the pools after a change of an endpoint."""
        candidate.refresh()
        is_open = candidate.is_open(PromptBand.SHORT)
        _set_membership(self.open, candidate, is_member=is_open)
        _set_membership(
            self.open_without_long,
            candidate,
            is_member=is_open and candidate.has_no_long_prompt,
        )

    def remove_everywhere(self, endpoint: EndpointId) -> None:
        """Remove an endpoint from all pools."""
        for pool in (self, self.open, self.open_without_long):
            pool.remove(endpoint)
        self.invalidate_live_weight()

    def total_weight(self) -> float:
        """Return the sum of the weights of the endpoints that accept work."""
        if self._live_weight is None:
            self._live_weight = sum(candidate.live_weight for candidate in self)
        return self._live_weight

    def invalidate_live_weight(self) -> None:
        """Discard the cached sum of weights after a change of an endpoint."""
        self._live_weight = None


def _set_membership(
    pool: CandidatePool,
    candidate: TrackedCandidate,
    *,
    is_member: bool,
) -> None:
    if is_member:
        pool.put(candidate)
    else:
        pool.remove(candidate.view.endpoint)
