"""What is asked of a plan, and what a plan says."""

import math

import msgspec

from ...ids import EndpointId

#: Prompt tokens that weigh as much as one short turn: callers of long prompts
#: wait longer and lose more with a late answer.
_TOKENS_OF_A_TURN = 7500.0
#: Weight of the shortest prompt in such turns.
_LEAST_WEIGHT = 0.5


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to a model service, as far as its placement goes.

    Attributes
    ----------
    answer_tokens
        Most tokens that the answer may have.
    objective_ms
        Time to the first event that is left of what was promised.
    pause_ms
        Longest promised pause between events; 0 if nothing was promised.
    limit_ms
        Time after which its caller has left.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_ms: float
    pause_ms: float = 0
    limit_ms: float = math.inf

    @property
    def weight(self) -> float:
        """Return how many short turns its objective counts for."""
        return _LEAST_WEIGHT + self.prompt_tokens / _TOKENS_OF_A_TURN


class ReadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Where a prompt is read.

    Attributes
    ----------
    home
        Engine that gets the request and writes the answer.
    helpers
        Engines that read parts of the prompt for it.
    part_ms
        Time that each of them needs for its part.
    expected_ms
        Time to the first event.
    stored
        Tokens of the prompt that helpers have to store, by endpoint, where
        the home engine's memory does not hold it.
    cost
        Expected harm, in broken promises of short turns.
    harm
        The part of it that others bear.
    """

    home: EndpointId
    helpers: tuple[EndpointId, ...] = ()
    part_ms: float = 0
    expected_ms: float = 0
    stored: tuple[tuple[EndpointId, int], ...] = ()
    cost: float = 0
    harm: float = 0

    @property
    def members(self) -> tuple[EndpointId, ...]:
        """Return all engines that take part, the home one first."""
        return (self.home, *self.helpers)
