"""Health record of one endpoint, from the observations of an entry."""

import enum
import math

import msgspec

from ..states import HealthState

#: Weight of a new sample in the exponential moving averages. The last ten
#: samples dominate, so a change is visible within ten requests.
SMOOTHING_FACTOR = 0.2
#: Largest latency ratio that enters the average, so that one stall of a minute
#: does not outweigh the next fifty answers.
MAX_LATENCY_RATIO = 30.0
#: Number of samples from which the averages of an endpoint are evaluated.
MIN_SAMPLES = 5
#: Number of consecutive failures after which an endpoint is ejected. At a
#: failure rate of one in ten, three consecutive failures occur by chance once
#: in a thousand requests.
EJECTION_FAILURE_COUNT = 3
#: Average share of failures above which an endpoint is ejected.
MAX_FAILURE_SHARE = 0.5
#: Shortest silence that counts as a fault, in seconds: two missed reports and
#: one long forward pass.
MIN_SILENCE_SECONDS = 5.0
#: Silence that counts as a fault, in multiples of the expected time to first
#: token.
SILENCE_FACTOR = 4.0


class ObservationKind(enum.StrEnum):
    """Kind of event that an entry observes for one request at an endpoint."""

    ACCEPTED = 'accepted'
    ANSWERED = 'answered'
    FAILED = 'failed'
    ABANDONED = 'abandoned'


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """One observation at an endpoint.

    `ACCEPTED` is followed by one of the other kinds: `ANSWERED` with the first
    token, `FAILED` if the endpoint or its connection failed, `ABANDONED` if
    the caller cancelled for a reason unrelated to the endpoint.

    Attributes
    ----------
    latency_ratio
        For `ANSWERED`: time to first token divided by the expected time.
    expected_seconds
        For `ACCEPTED`: expected time to first token, in seconds.
    """

    kind: ObservationKind
    latency_ratio: float = 1
    expected_seconds: float = 1


class EjectionReason(enum.StrEnum):
    """Why an endpoint is ejected."""

    FAILURES = 'failures'
    LATENCY = 'latency'
    SILENCE = 'silence'


class HealthRecord:
    """Moving averages and health state of one endpoint."""

    def __init__(self) -> None:
        self.state = HealthState.HEALTHY
        self.reason: EjectionReason | None = None
        self.since = -math.inf
        self.ejections = 0
        self.successful_probes = 0
        self.is_capped = False
        self.pending = 0
        self.is_evaluated = False
        self.samples = 0
        self.consecutive_failures = 0
        self.failure_share = float(0)
        self.latency_ratio = float(1)
        self._last_progress_at = -math.inf
        self._max_expected_seconds = float(0)

    def add_observation(self, observation: Observation, now: float) -> None:
        """Add an observation to the averages."""
        self.is_evaluated = False
        if observation.kind == ObservationKind.ACCEPTED:
            self._add_accepted(observation.expected_seconds, now)
            return
        self.pending = max(0, self.pending - 1)
        if observation.kind == ObservationKind.ABANDONED:
            return
        failed = observation.kind == ObservationKind.FAILED
        self.samples += 1
        self.consecutive_failures = (
            self.consecutive_failures + 1 if failed else 0
        )
        self.failure_share += SMOOTHING_FACTOR * (failed - self.failure_share)
        if not failed:
            self._last_progress_at = now
            ratio = min(MAX_LATENCY_RATIO, observation.latency_ratio)
            self.latency_ratio += SMOOTHING_FACTOR * (
                ratio - self.latency_ratio
            )

    @property
    def is_settled(self) -> bool:
        """Whether the endpoint is healthy and needs no new evaluation.

        No observation has arrived since the last evaluation, and no request
        is pending that could time out.
        """
        is_healthy = self.state == HealthState.HEALTHY and not self.is_capped
        return is_healthy and self.is_evaluated and not self.pending

    def ejection_reason(
        self,
        max_ratio: float,
        now: float,
    ) -> EjectionReason | None:
        """Return the reason to eject the endpoint, or None."""
        if self.is_silent(now):
            return EjectionReason.SILENCE
        has_samples = self.samples >= MIN_SAMPLES
        often_failed = has_samples and self.failure_share > MAX_FAILURE_SHARE
        if often_failed or self.consecutive_failures >= EJECTION_FAILURE_COUNT:
            return EjectionReason.FAILURES
        if has_samples and self.latency_ratio > max_ratio:
            return EjectionReason.LATENCY
        return None

    def is_silent(self, now: float) -> bool:
        """Return whether no first token arrives while requests are pending.

        An endpoint that accepts requests and never answers reports no failure.
        Without this check, the fault is detected only when callers reach their
        time limits.
        """
        if not self.pending:
            return False
        timeout = max(
            MIN_SILENCE_SECONDS,
            SILENCE_FACTOR * self._max_expected_seconds,
        )
        return now - self._last_progress_at > timeout

    def change_state(self, state: HealthState, now: float) -> None:
        """Change the state and reset the averages."""
        self.state = state
        self.since = now
        self.successful_probes = 0
        self.is_capped = False
        self.samples = 0
        self.consecutive_failures = 0
        self.failure_share = float(0)
        self.latency_ratio = float(1)
        if state == HealthState.PROBING:
            # Requests that were never answered must not fail the first probe.
            self.pending = 0

    def _add_accepted(self, expected_seconds: float, now: float) -> None:
        if not self.pending:
            self._last_progress_at = now
            self._max_expected_seconds = float(0)
        self.pending += 1
        self._max_expected_seconds = max(
            self._max_expected_seconds, expected_seconds
        )
