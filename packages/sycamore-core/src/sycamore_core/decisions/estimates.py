"""What a request costs, and how fast the fleet works its queue off.

Load pattern: prompts whose lengths differ a thousandfold on engines whose
speed nobody has stated, and which grow slower when they are full.

Without it: shares counted in requests let a workspace take the fleet with a
few long prompts, and a wait that is told to a caller is a guess.

Costs are in engine seconds: the part of an engine's time that a request takes.
They need only be right relative to each other, because the rate at which the
queue drains is measured in the same unit.
"""

from ..states import EndpointKind
from .requests import RequestView
from .views import ASSUMED_RATE, EndpointView

#: Time that a token generated takes of an engine until one has reported, in
#: seconds: the slope of the published fit, 2.7 ms, and its base of 10 ms
#: shared by 16 sequences.
ASSUMED_TOKEN_SECONDS = 0.0033
#: Time of one call of a plain service until one was seen, in seconds.
ASSUMED_CALL_SECONDS = 0.05
#: Part of the longest allowed answer that one has until some were seen; callers
#: mostly leave the limit of their service as it is, and few answers reach it.
ASSUMED_OUTPUT_SHARE = 0.25
#: Least cost of a request, in engine seconds, so that no share is infinite.
LEAST_COST = 0.001
#: Sequences in a batch from which its step time tells the cost of a token;
#: below it, the base of the step weighs more than the sequences.
TELLING_BATCH = 4
#: Part by which a remembered best speed is given up at each report. At one
#: report a second of each of 20 endpoints it follows a change in ten seconds.
FORGETTING = 0.005
#: Weight of the newest sample in averages: settles within about ten samples.
SMOOTHING = 0.1
#: Shortest time over which a drain rate is measured, in seconds: an eighth of
#: a target of two seconds.
DRAIN_SECONDS = 0.25
#: Requests over which a drain rate is measured at least, so that one that is
#: a hundred times longer than the others does not make the rate jump.
DRAIN_REQUESTS = 8
#: Weight of the newest drain rate.
DRAIN_SMOOTHING = 0.4
#: Rate of an endpoint without a backlog, in engine seconds a second. It is
#: above 1, because a batch that is not full takes in prompts faster than it
#: can answer them; with 1, a burst that the batches can hold is refused.
IDLE_RATE = 4.0


class SpeedEstimate:
    """How fast the endpoints of a service are when not slowed by others.

    Attributes
    ----------
    prefill_rate
        Prompt tokens computed a second.
    token_seconds
        Engine time of one token generated, in seconds.
    call_seconds
        Time of one call of a plain service, in seconds.
    output_share
        Part of the longest allowed answer that answers really have.
    """

    def __init__(self) -> None:
        self.prefill_rate: float = 0
        self.token_seconds: float = 0
        self.call_seconds = ASSUMED_CALL_SECONDS
        self.step_seconds: float = 0
        self.output_share = ASSUMED_OUTPUT_SHARE

    def take_report(self, view: EndpointView) -> None:
        """Learn from a report of an endpoint."""
        if view.telling_rate > 0:
            kept = self.prefill_rate * (1 - FORGETTING)
            self.prefill_rate = max(kept, view.telling_rate)
        if view.step_seconds > 0:
            self.step_seconds = _smoothed(self.step_seconds, view.step_seconds)
            self._take_step(view)

    def take_output(self, request: RequestView, tokens: float) -> None:
        """Learn from an answer of `tokens` tokens."""
        if request.max_output_tokens:
            share = min(1, tokens / request.max_output_tokens)
            self.output_share += SMOOTHING * (share - self.output_share)

    def take_call(self, seconds: float) -> None:
        """Learn from a call of a plain service."""
        self.call_seconds = _smoothed(self.call_seconds, seconds)

    def cost(self, request: RequestView, new_tokens: int) -> float:
        """Return what a request costs, in engine seconds."""
        if request.kind == EndpointKind.PLAIN:
            return max(LEAST_COST, self.call_seconds)
        tokens = self.output_tokens(request)
        decode = tokens * (self.token_seconds or ASSUMED_TOKEN_SECONDS)
        return max(LEAST_COST, self.prefill_seconds(new_tokens) + decode)

    def prefill_seconds(self, new_tokens: int) -> float:
        """Return the time to compute a prompt alone, in seconds."""
        return new_tokens / (self.prefill_rate or ASSUMED_RATE)

    def answer_seconds(self, request: RequestView) -> float:
        """Return the time from the first token to the last, in seconds."""
        if request.kind == EndpointKind.PLAIN:
            return self.call_seconds
        return self.output_tokens(request) * self.step_seconds

    def output_tokens(self, request: RequestView) -> float:
        """Return how many tokens the answer is expected to have."""
        return request.max_output_tokens * self.output_share

    def _take_step(self, view: EndpointView) -> None:
        if view.running < TELLING_BATCH:
            return
        seen = view.step_seconds / view.running
        kept = self.token_seconds * (1 + FORGETTING)
        self.token_seconds = min(kept or seen, seen)


class DrainRate:
    """Engine seconds of work that leave a queue in a second.

    It is measured only while the queue is never empty, because otherwise it
    tells how much came and not how much can go.
    """

    def __init__(self) -> None:
        self.per_endpoint = IDLE_RATE
        self._since: float | None = None
        self._cost: float = 0
        self._requests = 0

    def rate(self, endpoints: float) -> float:
        """Return the rate of so many endpoints, in engine seconds a second."""
        return max(LEAST_COST, self.per_endpoint * endpoints)

    def note_sent(self, cost: float) -> None:
        """Count a request that has left the queue for an endpoint."""
        self._cost += cost
        self._requests += 1

    def rest(self) -> None:
        """Forget the measurement, as nothing waits."""
        self.per_endpoint = IDLE_RATE
        self._since = None

    def observe(self, now: float, endpoints: float) -> None:
        """Close a measurement that is long enough; something waits."""
        if self._since is None:
            self._restart(now)
            return
        seconds = now - self._since
        if seconds < DRAIN_SECONDS or self._requests < DRAIN_REQUESTS:
            return
        seen = self._cost / seconds / max(1, endpoints)
        self.per_endpoint += DRAIN_SMOOTHING * (seen - self.per_endpoint)
        self._restart(now)

    def _restart(self, since: float) -> None:
        self._since = since
        self._cost = 0
        self._requests = 0


def _smoothed(average: float, sample: float) -> float:
    if not average:
        return sample
    return average + SMOOTHING * (sample - average)
