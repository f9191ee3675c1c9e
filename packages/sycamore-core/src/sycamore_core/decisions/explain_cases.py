"""The decisions that can be replayed, as JSON documents.

Each document names its `decision` and carries all that the decision depends
on: times, draws and what came before.
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
    """Whether a request is let into the queue.

    Attributes
    ----------
    draws
        The random numbers, used in order and again from the first on.
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
    """What the whole scheduler of an entry decides of a request.

    Attributes
    ----------
    tree
        The published settings tree.
    requests
        All requests by their arrivals; the last one is explained.
    """

    tree: msgspec.Raw
    endpoints: tuple[EndpointView, ...]
    requests: tuple[RequestView, ...]
    zone: ZoneId = ZoneId('')
    draws: tuple[float, ...] = (0.5,)


class EarlierSend(msgspec.Struct, frozen=True):
    """A prompt that the entry sent to an endpoint before."""

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
    """Where a request goes.

    Attributes
    ----------
    zone, zones
        Zone of the entry, and the region of each zone.
    earlier
        What the entry remembers of prompts, in order.
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
    """Whether a request is tried again.

    Attributes
    ----------
    answered
        First tries of the same moment that were answered.
    """

    failure: FailedAttempt
    answered: int = 0
    now: float = 0
    draws: tuple[float, ...] = (0.5,)


class Seen(msgspec.Struct, frozen=True):
    """An observation at an endpoint."""

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
    """What an endpoint's health allows it."""

    endpoint: EndpointId
    endpoints: Sequence[EndpointId]
    seen: tuple[Seen, ...] = ()
    now: float = 0


class PaceUpdate(msgspec.Struct, frozen=True):
    """Targets that were set at a moment."""

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
