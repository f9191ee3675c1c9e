"""Estimates of the cost of a request and of the drain rate of a queue.

Load pattern: prompts whose lengths differ by a factor of 1,000, on engines of
unknown speed that become slower when they are full.

Without these estimates, shares would count requests, so that a workspace could
occupy the fleet with a few long prompts, and the wait reported to a caller
would be arbitrary.

Costs are in engine seconds: the time of one engine that a request uses. Only
the ratios of costs matter, because the drain rate of the queue is measured in
the same unit.
"""

from ..states import EndpointKind
from .requests import RequestView
from .views import ASSUMED_PREFILL_RATE, EndpointView

#: Engine time per generated token before the first report, in seconds: the
#: slope of the published fit, 2.7 ms, and its base of 10 ms shared by 16
#: sequences.
ASSUMED_TOKEN_SECONDS = 0.0033
#: Time of one call of a plain service before the first call, in seconds.
ASSUMED_CALL_SECONDS = 0.05
#: Answer length before the first answer, as a fraction of its limit. Most
#: callers keep the default limit of their service, and few answers reach it.
ASSUMED_OUTPUT_SHARE = 0.25
#: Lower bound of a cost, in engine seconds, so that no quotient is infinite.
MIN_COST_SECONDS = 0.001
#: Batch size, in sequences, from which the step time indicates the cost of a
#: token; below it, the base time dominates the step.
MIN_SAMPLE_BATCH = 4
#: Decay of the best known speed per report, as a fraction. With 20 endpoints
#: that report once a second, the estimate follows a change in ten seconds.
DECAY_PER_REPORT = 0.005
#: Weight of the newest sample in averages; they settle within about 10 samples.
SMOOTHING = 0.1
#: Minimum time over which a drain rate is measured, in seconds: an eighth of a
#: target of two seconds.
MIN_DRAIN_SECONDS = 0.25
#: Minimum number of requests in a measurement of the drain rate, so that a
#: request 100 times longer than the others does not make the rate jump.
MIN_DRAIN_REQUESTS = 8
#: Weight of the newest drain rate.
DRAIN_SMOOTHING = 0.4
#: Drain rate per endpoint without a backlog, in engine seconds per second. A
#: batch that is not full accepts prompts faster than it answers them, so the
#: rate is above 1; with 1, a burst that the batches can hold is refused.
IDLE_RATE = 4.0


class SpeedEstimate:
    """Speed of the endpoints of a service without contention.

    Attributes
    ----------
    prefill_rate
        Prompt tokens computed per second; 0 if not known.
    token_seconds
        Engine time of one generated token, in seconds; 0 if not known.
    call_seconds
        Time of one call of a plain service, in seconds.
    step_seconds
        Average time between two tokens of a stream, in seconds; 0 if not known.
    output_share
        Average length of the answers as a fraction of their limit.
    """

    def __init__(self) -> None:
        self.prefill_rate: float = 0
        self.token_seconds: float = 0
        self.call_seconds = ASSUMED_CALL_SECONDS
        self.step_seconds: float = 0
        self.output_share = ASSUMED_OUTPUT_SHARE

    def apply_report(self, view: EndpointView) -> None:
        """Update the estimates from a report of an endpoint."""
        if view.saturated_rate > 0:
            decayed = self.prefill_rate * (1 - DECAY_PER_REPORT)
            self.prefill_rate = max(decayed, view.saturated_rate)
        if view.step_seconds > 0:
            self.step_seconds = _moving_average(
                self.step_seconds, view.step_seconds
            )
            self._apply_step(view)

    def record_output(self, request: RequestView, tokens: float) -> None:
        """Update the answer length from an answer of `tokens` tokens."""
        if request.max_output_tokens:
            share = min(1, tokens / request.max_output_tokens)
            self.output_share += SMOOTHING * (share - self.output_share)

    def record_call(self, seconds: float) -> None:
        """Update the call time from a call of a plain service."""
        self.call_seconds = _moving_average(self.call_seconds, seconds)

    def cost(self, request: RequestView, new_tokens: int) -> float:
        """Return the cost of a request, in engine seconds."""
        if request.kind == EndpointKind.PLAIN:
            return max(MIN_COST_SECONDS, self.call_seconds)
        tokens = self.output_tokens(request)
        decode = tokens * (self.token_seconds or ASSUMED_TOKEN_SECONDS)
        return max(MIN_COST_SECONDS, self.prefill_seconds(new_tokens) + decode)

    def prefill_seconds(self, new_tokens: int) -> float:
        """Return the prefill time without contention, in seconds."""
        return new_tokens / (self.prefill_rate or ASSUMED_PREFILL_RATE)

    def answer_seconds(self, request: RequestView) -> float:
        """Return the time from the first token to the last, in seconds."""
        if request.kind == EndpointKind.PLAIN:
            return self.call_seconds
        return self.output_tokens(request) * self.step_seconds

    def output_tokens(self, request: RequestView) -> float:
        """Return the expected length of the answer, in tokens."""
        return request.max_output_tokens * self.output_share

    def _apply_step(self, view: EndpointView) -> None:
        if view.running < MIN_SAMPLE_BATCH:
            return
        sample = view.step_seconds / view.running
        decayed = self.token_seconds * (1 + DECAY_PER_REPORT)
        self.token_seconds = min(decayed or sample, sample)


class DrainRate:
    """Work that leaves a queue, in engine seconds per second.

    The rate is measured only while the queue is not empty. The rate of an empty
    queue shows the arrivals instead of the capacity.

    Attributes
    ----------
    per_endpoint
        Drain rate of one endpoint, in engine seconds per second.
    """

    def __init__(self) -> None:
        self.per_endpoint = IDLE_RATE
        self._since: float | None = None
        self._cost: float = 0
        self._requests = 0

    def rate(self, endpoints: float) -> float:
        """Return the rate of `endpoints` endpoints.

        The unit is engine seconds per second.
        """
        return max(MIN_COST_SECONDS, self.per_endpoint * endpoints)

    def record_sent(self, cost: float) -> None:
        """Count a request that was sent to an endpoint."""
        self._cost += cost
        self._requests += 1

    def reset(self) -> None:
        """Discard the measurement, because the queue is empty."""
        self.per_endpoint = IDLE_RATE
        self._since = None

    def observe(self, now: float, endpoints: float) -> None:
        """Update the rate if the measurement is long enough.

        Called only while the queue is not empty.
        """
        if self._since is None:
            self._restart(now)
            return
        seconds = now - self._since
        if seconds < MIN_DRAIN_SECONDS or self._requests < MIN_DRAIN_REQUESTS:
            return
        sample = self._cost / seconds / max(1, endpoints)
        self.per_endpoint += DRAIN_SMOOTHING * (sample - self.per_endpoint)
        self._restart(now)

    def _restart(self, since: float) -> None:
        self._since = since
        self._cost = 0
        self._requests = 0


def _moving_average(average: float, sample: float) -> float:
    if not average:
        return sample
    return average + SMOOTHING * (sample - average)
