"""JSON schemas of the decisions that can be replayed.

Each document names its `decision` and contains all inputs of the decision:
times, random draws and earlier events.
"""

from collections.abc import Mapping, Sequence

import msgspec

from ..ids import BlockHash, EndpointId, RegionId, ZoneId
from .admission import WaitEstimate
from .health_record import Observation
from .pool import Candidate
from .requests import RequestView
from .retries import FailedAttempt
from .views import EndpointView

_TAG_FIELD = 'decision'


class AdmissionCase(
    msgspec.Struct,
    frozen=True,
    tag_field=_TAG_FIELD,
    tag='admission',
    forbid_unknown_fields=True,
):
    """Whether a request is admitted to the queue.

    Attributes
    ----------
    draws
        Random numbers that are used in order and repeated when exhausted.
    """

    request: RequestView
    estimate: WaitEstimate
    now: float = 0
    draws: tuple[float, ...] = (0.5,)


class ScheduleCase(
    msgspec.Struct,
    frozen=True,
    tag_field=_TAG_FIELD,
    tag='schedule',
    forbid_unknown_fields=True,
):
    """Decision of the whole scheduler of an entry about a request.

    Attributes
    ----------
    tree
        The published settings tree.
    requests
        All requests in order of arrival; the last one is explained.
    """

    tree: msgspec.Raw
    endpoints: tuple[EndpointView, ...]
    requests: tuple[RequestView, ...]
    zone: ZoneId = ZoneId('')
    draws: tuple[float, ...] = (0.5,)


class EarlierSend(msgspec.Struct, frozen=True):
    """A prompt that the entry has sent to an endpoint earlier."""

    blocks: tuple[BlockHash, ...]
    endpoint: EndpointId
    at: float = 0


class PlacementCase(
    msgspec.Struct,
    frozen=True,
    tag_field=_TAG_FIELD,
    tag='placement',
    forbid_unknown_fields=True,
):
    """Which endpoint a request is sent to.

    Attributes
    ----------
    zone, zones
        Zone of the entry, and the region of each zone.
    earlier
        Prompts that the entry has sent earlier, in order.
    """

    request: RequestView
    candidates: tuple[Candidate, ...]
    zone: ZoneId = ZoneId('')
    zones: Mapping[ZoneId, RegionId] = {}
    long_work_share: float = 0.5
    earlier: tuple[EarlierSend, ...] = ()
    now: float = 0
    draws: tuple[float, ...] = (0.5,)


class RetryCase(
    msgspec.Struct,
    frozen=True,
    tag_field=_TAG_FIELD,
    tag='retry',
    forbid_unknown_fields=True,
):
    """Whether a request is retried.

    Attributes
    ----------
    answered
        Number of answered first attempts that precede the decision.
    """

    failure: FailedAttempt
    answered: int = 0
    now: float = 0
    draws: tuple[float, ...] = (0.5,)


class Seen(msgspec.Struct, frozen=True):
    """An observation at an endpoint, with its time in seconds."""

    endpoint: EndpointId
    at: float
    observation: Observation


class HealthCase(
    msgspec.Struct,
    frozen=True,
    tag_field=_TAG_FIELD,
    tag='health',
    forbid_unknown_fields=True,
):
    """State and weight that the health of an endpoint results in."""

    endpoint: EndpointId
    endpoints: Sequence[EndpointId]
    seen: tuple[Seen, ...] = ()
    now: float = 0


class PaceUpdate(msgspec.Struct, frozen=True):
    """Target weights that are set at one time, in seconds."""

    at: float
    targets: Mapping[EndpointId, float]


class PaceCase(
    msgspec.Struct,
    frozen=True,
    tag_field=_TAG_FIELD,
    tag='pace',
    forbid_unknown_fields=True,
):
    """The weight of an endpoint after several updates."""

    endpoint: EndpointId
    updates: tuple[PaceUpdate, ...]


Case = (
    AdmissionCase
    | HealthCase
    | PaceCase
    | PlacementCase
    | RetryCase
    | ScheduleCase
)
