"""Histograms of times, with bucket bounds near the targets."""

from opentelemetry.metrics import Histogram, Meter

from ..states import PromptBand

#: Bucket bounds for the time to first token and the queue wait, in seconds.
#: They are dense around the target of 0.49 s and reach the minutes that a
#: prompt of a million tokens takes.
DURATION_BOUNDS = (
    *(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.49),
    *(0.6, 0.8, 1.2, 2, 5, 15, 60, 300),
)
#: Bucket bounds for the mean time between tokens, in seconds, dense around the
#: target of 54 ms.
TOKEN_GAP_BOUNDS = (
    *(0.005, 0.01, 0.02, 0.03, 0.04, 0.054),
    *(0.07, 0.1, 0.2, 0.5, 1, 5),
)
#: Bucket bounds for the slowdown: the response time divided by the response
#: time on an idle fleet.
SLOWDOWN_BOUNDS = (1, 1.1, 1.25, 1.5, 2, 3, 5, 10, 30, 100)


class Histograms:
    """The histograms of one process."""

    def __init__(self, meter: Meter) -> None:
        self._first_token = _histogram(
            meter,
            'sycamore_first_token_seconds',
            'Time to first token by band of the prompt',
            DURATION_BOUNDS,
        )
        self._queue_wait = _histogram(
            meter,
            'sycamore_queue_wait_seconds',
            'Time from arrival to the first offer by band of the prompt',
            DURATION_BOUNDS,
        )
        self._token_gap = _histogram(
            meter,
            'sycamore_token_gap_seconds',
            'Mean time between the tokens of a stream',
            TOKEN_GAP_BOUNDS,
        )
        self._slowdown = _histogram(
            meter,
            'sycamore_slowdown_ratio',
            'How many times longer a request took than alone, by band',
            SLOWDOWN_BOUNDS,
        )
        self._event_loop_late = _histogram(
            meter,
            'sycamore_event_loop_late_seconds',
            'How late the event loop of the process was',
            DURATION_BOUNDS,
        )

    def event_loop_late(self, seconds: float) -> None:
        """Record how late the event loop was, in seconds."""
        self._event_loop_late.record(seconds)

    def first_token(self, band: PromptBand, seconds: float) -> None:
        """Record a time to first token, in seconds."""
        self._first_token.record(seconds, {'band': band.value})

    def queue_wait(self, band: PromptBand, seconds: float) -> None:
        """Record a time from arrival to the first offer, in seconds."""
        self._queue_wait.record(seconds, {'band': band.value})

    def slowdown(self, band: PromptBand, ratio: float) -> None:
        """Record the slowdown of a request against an idle fleet."""
        self._slowdown.record(ratio, {'band': band.value})

    def token_gap(self, seconds: float) -> None:
        """Record the mean time between the tokens of a stream, in seconds.

        The mean is recorded once, at the end of the stream. A record takes
        about 12 microseconds; recording each token would use a twelfth of a
        core at 7,400 tokens per second, the target for one node.
        """
        self._token_gap.record(seconds)


def _histogram(
    meter: Meter,
    name: str,
    description: str,
    bounds: tuple[float, ...],
) -> Histogram:
    return meter.create_histogram(
        name,
        description=description,
        explicit_bucket_boundaries_advisory=list(bounds),
    )
