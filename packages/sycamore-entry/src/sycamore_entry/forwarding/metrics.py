"""Counts and times of a forwarding entry, and the page that shows them."""

from collections import deque
from http import HTTPStatus

from sycamore_core.states import PromptBand
from sycamore_core.telemetry import Metrics
from sycamore_core.telemetry.tallies import Tally
from tornado.httputil import ResponseStartLine

from .operator_pages import OperatorPage, PageAnswer

#: Bounds of the bands of prompts, in tokens: a chat turn, a briefing, what one
#: engine reads within a few seconds, and what needs several.
BAND_BOUNDS = (
    (12_000, PromptBand.SHORT),
    (60_000, PromptBand.MEDIUM),
    (200_000, PromptBand.LONG),
)
#: Times that are kept until the page is made.
MOST_EARLY = 4096
_OK = ResponseStartLine('HTTP/1.1', HTTPStatus.OK, 'OK')
_TEXT = 'text/plain; version=0.0.4'


class ForwardingMetrics:
    """What is counted of forwarded requests.

    The page is made some time after the start, or when it is first asked
    for; until then counts and times are kept here.

    Attributes
    ----------
    refusals, retries, ends
        Refusals and retries by reason, requests by how they ended.
    unknown_headers
        Headers of answers whose meaning is not known, by name.
    """

    def __init__(self, process: str = 'entry') -> None:
        self.process = process
        self.refusals = Tally('reason')
        self.retries = Tally('reason')
        self.ends = Tally('end')
        self.unknown_headers = Tally('name')
        self._early: deque[tuple[PromptBand, float]] = deque(maxlen=MOST_EARLY)
        self._metrics: Metrics | None = None

    def first_event(self, prompt_tokens: int, seconds: float) -> None:
        """Record the time to the first event of a stream."""
        band = band_of(prompt_tokens)
        if self._metrics is None:
            self._early.append((band, seconds))
        else:
            self._metrics.first_token(band, seconds)

    def load(self) -> Metrics:
        """Return what makes the page; made now if it was not yet."""
        if self._metrics is None:
            self._metrics = Metrics(self.process)
            self._metrics.show('forwarding_refusals', self.refusals)
            self._metrics.show('forwarding_retries', self.retries)
            self._metrics.show('forwarded_requests', self.ends)
            self._metrics.show('unknown_headers', self.unknown_headers)
            for band, seconds in self._early:
                self._metrics.first_token(band, seconds)
        return self._metrics

    def page(self) -> bytes:
        """Return the page for operators."""
        return self.load().page()


class MetricsPage(OperatorPage):
    """Answers every request with the page."""

    def __init__(self, metrics: ForwardingMetrics) -> None:
        self.metrics = metrics

    def show(self) -> PageAnswer:
        """Return the answer."""
        return PageAnswer(_OK, self.metrics.page(), _TEXT)


def band_of(prompt_tokens: int) -> PromptBand:
    """Return the band of a prompt.

    Examples
    --------
    >>> band_of(5000).value, band_of(700_000).value
    ('short', 'huge')
    """
    for bound, band in BAND_BOUNDS:
        if prompt_tokens < bound:
            return band
    return PromptBand.HUGE
