"""Distributions of times, with bounds where the targets lie."""

from opentelemetry.metrics import Histogram, Meter

from ..states import PromptBand

#: Bounds of the times to first token and of waits, in seconds: dense around
#: the 0.49 s of the target, and up to the minutes of a million tokens.
SECONDS_BOUNDS = (
    *(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.49),
    *(0.6, 0.8, 1.2, 2, 5, 15, 60, 300),
)
#: Bounds of the mean times between tokens, in seconds: dense around the 54 ms
#: of the target.
GAP_BOUNDS = (
    *(0.005, 0.01, 0.02, 0.03, 0.04, 0.054),
    *(0.07, 0.1, 0.2, 0.5, 1, 5),
)
#: Bounds of the slowdown: how many times longer than alone on the fleet.
SLOWDOWN_BOUNDS = (1, 1.1, 1.25, 1.5, 2, 3, 5, 10, 30, 100)


class Histograms:
    """The distributions of one process."""

    def __init__(self, meter: Meter) -> None:
        self._first_token = _histogram(
            meter,
            'sycamore_first_token_seconds',
            'Time to first token by band of the prompt',
            SECONDS_BOUNDS,
        )
        self._queue_wait = _histogram(
            meter,
            'sycamore_queue_wait_seconds',
            'Time from arrival to the first offer by band of the prompt',
            SECONDS_BOUNDS,
        )
        self._token_gap = _histogram(
            meter,
            'sycamore_token_gap_seconds',
            'Mean time between the tokens of a stream',
            GAP_BOUNDS,
        )
        self._slowdown = _histogram(
            meter,
            'sycamore_slowdown_ratio',
            'How many times longer a request took than alone, by band',
            SLOWDOWN_BOUNDS,
        )

    def first_token(self, band: PromptBand, seconds: float) -> None:
        """Record a time to first token, in seconds."""
        self._first_token.record(seconds, {'band': band.value})

    def queue_wait(self, band: PromptBand, seconds: float) -> None:
        """Record a time from arrival to the first offer, in seconds."""
        self._queue_wait.record(seconds, {'band': band.value})

    def slowdown(self, band: PromptBand, ratio: float) -> None:
        """Record how many times longer a request took than alone."""
        self._slowdown.record(ratio, {'band': band.value})

    def token_gap(self, seconds: float) -> None:
        """Record the mean time between the tokens of a stream, in seconds.

        It is recorded once, at the end of the stream: a record costs about
        12 microseconds here, which for each token would be a twelfth of a
        core at the 7,400 tokens a second of one node of the target.
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
