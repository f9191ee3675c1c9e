"""Input and result of the placement of a prompt."""

import math

import msgspec

from ...ids import EndpointId

#: Prompt tokens that weigh as much as one short request. Callers of long
#: prompts wait longer and lose more by a late answer.
_TOKENS_PER_SHORT_REQUEST = 7500.0
#: Weight of an empty prompt, in short requests.
_MIN_WEIGHT = 0.5


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of a model request that placement depends on.

    Attributes
    ----------
    answer_tokens
        Maximum length of the answer, in tokens.
    objective_ms
        Remaining time to the first event by the request's objective, in
        milliseconds.
    pause_ms
        Longest pause between events that the objective allows, in
        milliseconds; 0 if there is no such objective.
    limit_ms
        Time after which the caller leaves, in milliseconds.
    importance
        Factor of the weight, from the priority of the request's route.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_ms: float
    pause_ms: float = 0
    limit_ms: float = math.inf
    importance: float = 1

    @property
    def weight(self) -> float:
        """Number of short requests that the request's objective counts for."""
        length = _MIN_WEIGHT + self.prompt_tokens / _TOKENS_PER_SHORT_REQUEST
        return length * self.importance


class ReadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """The engines that read a prompt.

    Attributes
    ----------
    primary
        Engine that receives the request and generates the answer.
    helpers
        Engines that read parts of the prompt for it.
    part_ms
        Time that each engine needs for its part, in milliseconds.
    expected_ms
        Expected time to the first event, in milliseconds.
    helper_tokens
        Prompt tokens that each helper keeps in its memory, by endpoint, if
        the prompt exceeds the memory of the engine that generates.
    cost
        Expected loss, in missed objectives of short requests.
    interference
        Part of the cost that other requests bear.
    """

    primary: EndpointId
    helpers: tuple[EndpointId, ...] = ()
    part_ms: float = 0
    expected_ms: float = 0
    helper_tokens: tuple[tuple[EndpointId, int], ...] = ()
    cost: float = 0
    interference: float = 0

    @property
    def members(self) -> tuple[EndpointId, ...]:
        """All engines that take part; the one that generates comes first."""
        return (self.primary, *self.helpers)
