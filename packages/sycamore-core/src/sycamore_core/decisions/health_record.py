"""What an entry has seen of one endpoint."""

import enum
import math

import msgspec

from ..states import HealthState

#: Part of a new sample in the running averages: the last ten count most, so
#: a change shows within ten requests.
AVERAGE_PART = 0.2
#: Largest ratio taken into the average, so that one stall of a minute does not
#: outweigh the next fifty answers.
LARGEST_RATIO = 30.0
#: Samples before an endpoint is judged by averages.
LEAST_SAMPLES = 5
#: Failures in a row after which an endpoint is ejected. By chance, at one
#: failure in ten, three in a row come once in a thousand requests.
FAILURES_IN_ROW = 3
#: Average share of failures above which it is ejected.
FAILURE_SHARE = 0.5
#: Shortest silence that is judged, in seconds: two missed reports and a long
#: step more.
SILENCE_SECONDS = 5.0
#: Silence in multiples of the time to first token that was expected.
SILENCE_FACTOR = 4.0


class ObservationKind(enum.StrEnum):
    """What an entry saw of one request at an endpoint."""

    ACCEPTED = 'accepted'
    ANSWERED = 'answered'
    FAILED = 'failed'
    ABANDONED = 'abandoned'


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """One thing that was seen at an endpoint.

    `ACCEPTED` is followed by one of the others: `ANSWERED` with the first
    token, `FAILED` if the endpoint or its connection failed, `ABANDONED` if
    the caller gave up for a reason of its own.

    Attributes
    ----------
    latency_ratio
        For `ANSWERED`: time to first token divided by what was expected.
    expected_seconds
        For `ACCEPTED`: the time to first token that is expected, in seconds.
    """

    kind: ObservationKind
    latency_ratio: float = 1
    expected_seconds: float = 1


class EjectionReason(enum.StrEnum):
    """Why an endpoint is relieved of work."""

    FAILURES = 'failures'
    LATENCY = 'latency'
    SILENCE = 'silence'


class HealthRecord:
    """Running averages and the state of one endpoint."""

    def __init__(self) -> None:
        self.state = HealthState.HEALTHY
        self.reason: EjectionReason | None = None
        self.since = -math.inf
        self.ejections = 0
        self.good_probes = 0
        self.crowded = False
        self.pending = 0
        self.is_judged = False
        self.samples = 0
        self.failures_in_row = 0
        self.failure_share = float(0)
        self.latency_ratio = float(1)
        self._progress_at = -math.inf
        self._longest_expected = float(0)

    def take(self, observation: Observation, now: float) -> None:
        """Add an observation to the averages."""
        self.is_judged = False
        if observation.kind == ObservationKind.ACCEPTED:
            self._accept(observation.expected_seconds, now)
            return
        self.pending = max(0, self.pending - 1)
        if observation.kind == ObservationKind.ABANDONED:
            return
        failed = observation.kind == ObservationKind.FAILED
        self.samples += 1
        self.failures_in_row = self.failures_in_row + 1 if failed else 0
        self.failure_share += AVERAGE_PART * (failed - self.failure_share)
        if not failed:
            self._progress_at = now
            ratio = min(LARGEST_RATIO, observation.latency_ratio)
            self.latency_ratio += AVERAGE_PART * (ratio - self.latency_ratio)

    @property
    def is_settled(self) -> bool:
        """Whether nothing has come since it was found well, and no time-out."""
        well = self.state == HealthState.HEALTHY and not self.crowded
        return well and self.is_judged and not self.pending

    def complaint(
        self,
        slowest_ratio: float,
        now: float,
    ) -> EjectionReason | None:
        """Return what speaks against the endpoint, if anything does."""
        if self.is_silent(now):
            return EjectionReason.SILENCE
        judged = self.samples >= LEAST_SAMPLES
        often_failed = judged and self.failure_share > FAILURE_SHARE
        if often_failed or self.failures_in_row >= FAILURES_IN_ROW:
            return EjectionReason.FAILURES
        if judged and self.latency_ratio > slowest_ratio:
            return EjectionReason.LATENCY
        return None

    def is_silent(self, now: float) -> bool:
        """Tell whether it took work and gave no first token for too long.

        An endpoint that accepts work and never answers reports no failure.
        One would notice only that its callers run into their time limits.
        """
        if not self.pending:
            return False
        patience = max(
            SILENCE_SECONDS,
            SILENCE_FACTOR * self._longest_expected,
        )
        return now - self._progress_at > patience

    def enter(self, state: HealthState, now: float) -> None:
        """Change the state and judge from now on by new samples only."""
        self.state = state
        self.since = now
        self.good_probes = 0
        self.crowded = False
        self.samples = 0
        self.failures_in_row = 0
        self.failure_share = float(0)
        self.latency_ratio = float(1)
        if state == HealthState.PROBING:
            # What it never answered is not held against the first probe.
            self.pending = 0

    def _accept(self, expected_seconds: float, now: float) -> None:
        if not self.pending:
            self._progress_at = now
            self._longest_expected = float(0)
        self.pending += 1
        self._longest_expected = max(self._longest_expected, expected_seconds)
