"""Choice of the engines that share a prompt too long for one engine.

Load pattern: prompts of up to a million tokens, more than twice the memory of
an engine, among many short requests.

Without groups, such a prompt is refused, or it fills engines completely, and
each short request sent there waits for minutes. Without the ranking of
engines, long work spreads over all engines and slows each forward pass of
every engine.
"""

import enum
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from ..ids import EndpointId, ZoneId
from ..states import EndpointPhase
from .long_limits import (
    MIN_RESERVED_SHARE,
    SHORT_RESERVED_SHARE,
    LongLimits,
    long_capacity,
)
from .pool import Candidate
from .requests import RequestView

#: Shortest span for which an engine with long work is preferred as a member of
#: a group, in tokens. The prefill of such a span takes some seconds, well above
#: the round trips that a further member costs.
MIN_SPAN_TOKENS = 32_768


class GroupReason(enum.StrEnum):
    """Whether a group was formed, and the reason if not."""

    FORMED = 'formed'
    LONG_WORK_FULL = 'long_work_full'
    MEMORY_FULL = 'memory_full'
    PROMPT_TOO_LONG = 'prompt_too_long'


class Span(msgspec.Struct, frozen=True):
    """Part of a prompt that one endpoint stores, in tokens.

    The last span of a group also includes the memory of the output.
    """

    endpoint: EndpointId
    first_token: int
    tokens: int


class GroupPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A group of endpoints in span order, which is the order of their ids.

    The last endpoint is the leader. It generates the output with the KV cache
    of all earlier spans.
    """

    reason: GroupReason
    spans: tuple[Span, ...] = ()

    @property
    def leader(self) -> EndpointId:
        """Endpoint of the last span."""
        return self.spans[-1].endpoint

    @property
    def members(self) -> tuple[EndpointId, ...]:
        """Endpoints of the other spans, in span order."""
        return tuple(span.endpoint for span in self.spans[:-1])


class _EngineCapacity(msgspec.Struct, frozen=True):
    endpoint: EndpointId
    zone: ZoneId
    tokens: int
    has_long_work: bool


def plan_group(
    request: RequestView,
    candidates: Sequence[Candidate],
    limits: LongLimits,
) -> GroupPlan:
    """Choose the endpoints that share a prompt.

    Parameters
    ----------
    limits
        Memory and engines that long work may still use.
    """
    short_share = short_capacity_share(request, candidates)
    if short_share is None:
        return GroupPlan(reason=GroupReason.PROMPT_TOO_LONG)
    if request.lease_tokens > limits.tokens:
        return GroupPlan(reason=GroupReason.LONG_WORK_FULL)
    capacities = _engine_capacities(request, candidates, short_share)
    if sum(engine.tokens for engine in capacities) < request.lease_tokens:
        return GroupPlan(reason=GroupReason.MEMORY_FULL)
    for zone_capacities in _zone_choices(capacities):
        group = _choose_fewest(
            zone_capacities, request.lease_tokens, limits.engines
        )
        if group:
            return GroupPlan(
                reason=GroupReason.FORMED,
                spans=_split_prompt(request, group),
            )
    return GroupPlan(reason=GroupReason.LONG_WORK_FULL)


def short_capacity_share(
    request: RequestView,
    candidates: Sequence[Candidate],
) -> float | None:
    """Return the share of each engine's memory kept for short requests.

    This is the regular share if the live engines, when empty, can store the
    prompt beside it, otherwise the minimum share. Return None if the prompt
    is too long even then.
    """
    capacity = sum(
        candidate.view.capacity_tokens
        for candidate in candidates
        if candidate.view.phase == EndpointPhase.LIVE
    )
    for share in (SHORT_RESERVED_SHARE, MIN_RESERVED_SHARE):
        if request.lease_tokens <= capacity * (1 - share):
            return share
    return None


def _engine_capacities(
    request: RequestView,
    candidates: Iterable[Candidate],
    short_share: float,
) -> list[_EngineCapacity]:
    # A smallest possible group fills more than half of each member's capacity.
    # The output thus fits into the last span if the output needs at most half
    # of the capacity of that member.
    min_tokens = request.max_output_tokens * 2
    capacities = (
        _EngineCapacity(
            candidate.view.endpoint,
            candidate.view.zone,
            long_capacity(candidate, short_share),
            has_long_work=candidate.view.long_tokens > 0,
        )
        for candidate in candidates
    )
    return [engine for engine in capacities if engine.tokens > min_tokens]


def _zone_choices(
    capacities: Sequence[_EngineCapacity],
) -> Iterator[Sequence[_EngineCapacity]]:
    # KV caches are transferred between members, so groups within one zone are
    # preferred to groups across zones.
    for zone in sorted({engine.zone for engine in capacities}):
        yield [engine for engine in capacities if engine.zone == zone]
    yield capacities


def _choose_fewest(
    capacities: Sequence[_EngineCapacity],
    tokens: int,
    engines: int,
) -> Sequence[_EngineCapacity]:
    """Return a small set of engines that store the tokens, or an empty one.

    Engines that already run long work come first if they have the capacity
    for a span of `MIN_SPAN_TOKENS`, so that as many engines as possible stay
    free of long work.
    """
    ranked = sorted(capacities, key=_rank)
    group: list[_EngineCapacity] = []
    tokens_left = tokens
    engines_left = engines
    for engine in ranked:
        if tokens_left <= 0:
            break
        if not engine.has_long_work:
            engines_left -= 1
        group.append(engine)
        tokens_left -= engine.tokens
    return group if tokens_left <= 0 and engines_left >= 0 else ()


def _rank(engine: _EngineCapacity) -> tuple[bool, int, EndpointId]:
    preferred = engine.has_long_work and engine.tokens >= MIN_SPAN_TOKENS
    return not preferred, -engine.tokens, engine.endpoint


def _split_prompt(
    request: RequestView,
    group: Sequence[_EngineCapacity],
) -> tuple[Span, ...]:
    """Split the prompt in proportion to the capacity of each member."""
    ordered = sorted(group, key=lambda engine: engine.endpoint)
    total = sum(engine.tokens for engine in ordered)
    spans: list[Span] = []
    first = 0
    cumulative = 0
    for engine in ordered:
        cumulative += engine.tokens
        end = request.lease_tokens * cumulative // total
        spans.append(Span(engine.endpoint, first, end - first))
        first = end
    return tuple(spans)
