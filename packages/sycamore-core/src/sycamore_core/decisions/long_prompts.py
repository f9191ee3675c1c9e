"""Which group of engines serves a prompt beyond the memory of one.

Load pattern: prompts of up to a million tokens, more than twice what an engine
holds, among many short turns.

Without it: such a prompt is refused, or it fills engines to the last token,
and every short turn that lands there waits for minutes. Without the ranking,
long work spreads thinly over all engines, so that each step of each engine
carries some of it.
"""

import enum
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from ..ids import EndpointId, ZoneId
from ..states import EndpointPhase
from .long_limits import (
    LEAST_ROOM_SHARE,
    SHORT_ROOM_SHARE,
    LongLimits,
    room_for_long,
)
from .pool import Candidate
from .requests import RequestView

#: Shortest span worth an engine, in tokens: its prefill takes some seconds,
#: well beyond the round trips that one member more costs.
SHORTEST_SPAN = 32_768


class GroupReason(enum.StrEnum):
    """Why a group was formed, or not."""

    FORMED = 'formed'
    LONG_WORK_FULL = 'long_work_full'
    MEMORY_FULL = 'memory_full'
    PROMPT_TOO_LONG = 'prompt_too_long'


class Span(msgspec.Struct, frozen=True):
    """Part of a prompt that one endpoint holds, in tokens.

    The last span of a group has room for the output too.
    """

    endpoint: EndpointId
    first_token: int
    tokens: int


class GroupPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A group of endpoints in span order, which is the order of their ids.

    The last one leads: it generates, with the KV cache of all spans before.
    """

    reason: GroupReason
    spans: tuple[Span, ...] = ()

    @property
    def leader(self) -> EndpointId:
        """The endpoint of the last span."""
        return self.spans[-1].endpoint

    @property
    def members(self) -> tuple[EndpointId, ...]:
        """The endpoints of the other spans, in span order."""
        return tuple(span.endpoint for span in self.spans[:-1])


class _Room(msgspec.Struct, frozen=True):
    endpoint: EndpointId
    zone: ZoneId
    tokens: int
    holds_long: bool


def plan_group(
    request: RequestView,
    candidates: Sequence[Candidate],
    limits: LongLimits,
) -> GroupPlan:
    """Choose the endpoints that share a prompt.

    Parameters
    ----------
    limits
        What long work may still take of the candidates.
    """
    short_room = short_room_share(request, candidates)
    if short_room is None:
        return GroupPlan(reason=GroupReason.PROMPT_TOO_LONG)
    if request.lease_tokens > limits.tokens:
        return GroupPlan(reason=GroupReason.LONG_WORK_FULL)
    rooms = _rooms(request, candidates, short_room)
    if sum(room.tokens for room in rooms) < request.lease_tokens:
        return GroupPlan(reason=GroupReason.MEMORY_FULL)
    for choice in _by_zone(rooms):
        group = _fewest(choice, request.lease_tokens, limits.engines)
        if group:
            return GroupPlan(
                reason=GroupReason.FORMED,
                spans=_divide(request, group),
            )
    return GroupPlan(reason=GroupReason.LONG_WORK_FULL)


def short_room_share(
    request: RequestView,
    candidates: Sequence[Candidate],
) -> float | None:
    """Return the part of each engine that a prompt leaves to short turns.

    It is the usual one if all live engines, when empty, hold the prompt
    beside it, else the least one; None if they hold it in neither case.
    """
    capacity = sum(
        one.view.capacity_tokens
        for one in candidates
        if one.view.phase == EndpointPhase.LIVE
    )
    for share in (SHORT_ROOM_SHARE, LEAST_ROOM_SHARE):
        if request.lease_tokens <= capacity * (1 - share):
            return share
    return None


def _rooms(
    request: RequestView,
    candidates: Iterable[Candidate],
    short_room: float,
) -> list[_Room]:
    # The fewest engines are filled by more than half each, so the last span
    # has room for the output if half of it is more than that.
    least = request.max_output_tokens * 2
    rooms = (
        _Room(
            candidate.view.endpoint,
            candidate.view.zone,
            room_for_long(candidate, short_room),
            holds_long=candidate.view.long_tokens > 0,
        )
        for candidate in candidates
    )
    return [room for room in rooms if room.tokens > least]


def _by_zone(rooms: Sequence[_Room]) -> Iterator[Sequence[_Room]]:
    # KV caches pass from member to member, so one zone is tried before all.
    for zone in sorted({room.zone for room in rooms}):
        yield [room for room in rooms if room.zone == zone]
    yield rooms


def _fewest(
    rooms: Sequence[_Room],
    tokens: int,
    engines: int,
) -> Sequence[_Room]:
    """Return few engines that hold the tokens, or none if none may.

    Engines that hold long work come first as long as a span there is worth
    it, so that as many engines as possible stay free of it.
    """
    ranked = sorted(rooms, key=_rank)
    group: list[_Room] = []
    missing = tokens
    fresh = engines
    for room in ranked:
        if missing <= 0:
            break
        if not room.holds_long:
            fresh -= 1
        group.append(room)
        missing -= room.tokens
    return group if missing <= 0 and fresh >= 0 else ()


def _rank(room: _Room) -> tuple[bool, int, EndpointId]:
    preferred = room.holds_long and room.tokens >= SHORTEST_SPAN
    return not preferred, -room.tokens, room.endpoint


def _divide(
    request: RequestView,
    group: Sequence[_Room],
) -> tuple[Span, ...]:
    """Cut the prompt in proportion to the room of each member."""
    ordered = sorted(group, key=lambda room: room.endpoint)
    total = sum(room.tokens for room in ordered)
    spans: list[Span] = []
    first = 0
    offered = 0
    for room in ordered:
        offered += room.tokens
        end = request.lease_tokens * offered // total
        spans.append(Span(room.endpoint, first, end - first))
        first = end
    return tuple(spans)
