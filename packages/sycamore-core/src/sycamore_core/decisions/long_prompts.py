"""Which group of engines serves a prompt beyond the memory of one.

Load pattern: prompts of up to a million tokens, more than twice what an engine
holds, among many short turns.

Without it: such a prompt is refused, or it fills engines to the last token,
and every short turn that lands there waits for minutes.
"""

import enum
from collections.abc import Sequence

import msgspec

from ..ids import EndpointId
from .pool import Candidate
from .requests import RequestView


class GroupReason(enum.StrEnum):
    """Why a group was formed, or not."""

    FORMED = 'formed'
    LONG_WORK_FULL = 'long_work_full'
    MEMORY_FULL = 'memory_full'
    PROMPT_TOO_LONG = 'prompt_too_long'


class Span(msgspec.Struct, frozen=True):
    """Part of a prompt that one endpoint holds, in tokens."""

    endpoint: EndpointId
    first_token: int
    tokens: int


class GroupPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A group of endpoints in span order; the last one generates and leads."""

    reason: GroupReason
    spans: tuple[Span, ...] = ()

    @property
    def leader(self) -> EndpointId:
        """The endpoint of the last span, which holds the output too."""
        return self.spans[-1].endpoint

    @property
    def members(self) -> tuple[EndpointId, ...]:
        """The endpoints of the other spans, in span order."""
        return tuple(span.endpoint for span in self.spans[:-1])


def plan_group(
    request: RequestView,
    candidates: Sequence[Candidate],
    long_work_share: float,
) -> GroupPlan:
    """Choose the endpoints that share a prompt."""
    return GroupPlan(reason=GroupReason.MEMORY_FULL)
