"""Metrics of a forwarding entry, and the page that exports them."""

from collections import deque
from collections.abc import Callable
from http import HTTPStatus

from sycamore_core.states import PromptBand
from sycamore_core.telemetry import Gauge, Metrics
from sycamore_core.telemetry.gauges import LabelledGauge
from sycamore_core.telemetry.tallies import Tally
from tornado.httputil import ResponseStartLine

from .fleet.fleet_metrics import FleetMetrics
from .operator_pages import OperatorPage, PageResponse
from .outcome_metrics import OutcomeMetrics
from .retry_metrics import RetryMetrics
from .suspect_metrics import SuspectMetrics

#: Upper bounds of the bands of prompt lengths, in tokens: a chat request, a
#: briefing, and a prompt that one engine reads within a few seconds. Longer
#: prompts need several engines.
BAND_BOUNDS = (
    (12_000, PromptBand.SHORT),
    (60_000, PromptBand.MEDIUM),
    (200_000, PromptBand.LONG),
)
#: Times that are buffered until the exporter is created.
MAX_BUFFERED_TIMES = 4096
_OK = ResponseStartLine('HTTP/1.1', HTTPStatus.OK, 'OK')
_TEXT = 'text/plain; version=0.0.4'


class ForwardingMetrics:
    """Counters and times of forwarded requests.

    The exporter is created some time after the start, or when the page is
    first requested. Until then, counts and times are kept here.

    Attributes
    ----------
    refusals
        Counts of refusals by reason.
    outcomes
        Metrics of how requests and attempts ended.
    retries
        Metrics of retries and of the retry budget.
    suspects
        Metrics of requests that may crash endpoints.
    held_attempts
        Counts of silent attempts that stayed because the fleet was full, by
        route.
    unknown_headers
        Counts of unknown headers in answers, by name.
    fleet
        Metrics of what the entry learns from the platform and from peers.
    ended_attempts
        Counts of attempts that ended with an endpoint, by evidence of its end.
    engine_time, memory
        Usage of the workspaces that use most, by place.
    slow_readers
        Counts of connections closed because the other side did not read, by
        side.
    dequeued
        Counts of requests that left a queue, by reason.
    count_waiting
        Returns the number of requests that wait for a slot.
    """

    def __init__(self, process: str = 'entry') -> None:
        self.process = process
        self.refusals = Tally('reason')
        self.retries = RetryMetrics()
        self.suspects = SuspectMetrics()
        self.outcomes = OutcomeMetrics()
        self.held_attempts = Tally('route')
        self.unknown_headers = Tally('name')
        self.fleet = FleetMetrics()
        self.ended_attempts = Tally('evidence')
        self.engine_time = LabelledGauge(
            'workspace_engine_ms_per_s',
            'place',
            'Engine time of the workspaces that use most, by place',
        )
        self.memory = LabelledGauge(
            'workspace_memory_tokens',
            'place',
            'Engine memory of the workspaces that use most, by place',
        )
        self.slow_readers = Tally('side')
        self.dequeued = Tally('reason')
        self.count_waiting: Callable[[], int] = int
        self._buffered: deque[tuple[PromptBand, float]] = deque(
            maxlen=MAX_BUFFERED_TIMES
        )
        self._buffered_lateness: deque[float] = deque(maxlen=MAX_BUFFERED_TIMES)
        self._metrics: Metrics | None = None

    def observe_first_event(self, prompt_tokens: int, seconds: float) -> None:
        """Record the time to the first event of a stream."""
        band = band_of(prompt_tokens)
        if self._metrics is None:
            self._buffered.append((band, seconds))
        else:
            self._metrics.first_token(band, seconds)

    def observe_lateness(self, seconds: float) -> None:
        """Record how late the event loop of the process was."""
        if self._metrics is None:
            self._buffered_lateness.append(seconds)
        else:
            self._metrics.times.event_loop_late(seconds)

    def load_metrics(self) -> Metrics:
        """Return the exporter; create it on first use."""
        if self._metrics is None:
            self._metrics = Metrics(self.process)
            self._export(self._metrics)
            for band, seconds in self._buffered:
                self._metrics.first_token(band, seconds)
            for late_seconds in self._buffered_lateness:
                self._metrics.times.event_loop_late(late_seconds)
        return self._metrics

    def render(self) -> bytes:
        """Return the metrics page in the text exposition format."""
        metrics = self.load_metrics()
        metrics.settings_version(self.fleet.version())
        return metrics.page()

    def _export(self, metrics: Metrics) -> None:
        self.outcomes.export(metrics)
        self.retries.export(metrics)
        self.suspects.export(metrics)
        self.fleet.export(metrics)
        for name, tally in self._tallies().items():
            metrics.export_tally(name, tally)
        for gauge in (self.engine_time, self.memory):
            metrics.export_labelled_gauge(gauge)
        metrics.export_gauge(Gauge.WAITING, lambda: self.count_waiting())

    def _tallies(self) -> dict[str, Tally]:
        """Return the exported counts by the names of their counters."""
        return {
            'forwarding_refusals': self.refusals,
            'unknown_headers': self.unknown_headers,
            'ended_attempts': self.ended_attempts,
            'slow_readers': self.slow_readers,
            'held_attempts': self.held_attempts,
            'dequeued_requests': self.dequeued,
        }


class MetricsPage(OperatorPage):
    """Answers every request with the metrics page."""

    def __init__(self, metrics: ForwardingMetrics) -> None:
        self.metrics = metrics

    def make_response(self) -> PageResponse:
        """Return the response with the current metrics."""
        return PageResponse(_OK, self.metrics.render(), _TEXT)


def band_of(prompt_tokens: int) -> PromptBand:
    """Return the band of a prompt length.

    Examples
    --------
    >>> band_of(5000).value, band_of(700_000).value
    ('short', 'huge')
    """
    for bound, band in BAND_BOUNDS:
        if prompt_tokens < bound:
            return band
    return PromptBand.HUGE
