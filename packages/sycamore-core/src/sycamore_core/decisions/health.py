"""Which endpoints are relieved of work because of what callers saw there.

Load pattern: an endpoint that is ten times slower than the others but alive,
one that fails each request at once, and one that accepts work and never
answers.

Without it: the one that fails fast always looks idle and draws most of the
traffic; behind the slow or silent one, every request that lands there waits
until its time limit.
"""

import enum
from collections.abc import Iterable, Mapping

import msgspec

from ..ids import EndpointId
from ..states import HealthState


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


class EndpointHealth:
    """What an entry has seen of each endpoint, and what follows from it."""

    def __init__(self) -> None:
        self.failures: dict[EndpointId, int] = {}

    def observe(
        self,
        endpoint: EndpointId,
        observation: Observation,
        now: float,
    ) -> None:
        """Take note of what was seen at an endpoint."""
        if observation.kind == ObservationKind.FAILED:
            self.failures[endpoint] = self.failures.get(endpoint, 0) + 1
        if observation.kind == ObservationKind.ANSWERED:
            self.failures.pop(endpoint, None)

    def weights(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> Mapping[EndpointId, float]:
        """Return the part of its share that each endpoint should get."""
        return dict.fromkeys(endpoints, 1.0)

    def state(self, endpoint: EndpointId) -> HealthState:
        """Return the state of an endpoint."""
        return HealthState.HEALTHY

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an endpoint that is gone."""
        self.failures.pop(endpoint, None)
