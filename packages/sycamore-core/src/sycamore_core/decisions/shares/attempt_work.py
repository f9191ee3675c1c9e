"""The engine time and memory that one attempt of a request uses."""

from typing import Self

import msgspec

from ...routing import EngineCosts
from ..direct import ReadRequest

_MS = 1000.0
_THOUSAND = 1000


class AttemptWork(msgspec.Struct, frozen=True, kw_only=True):
    """The work of one attempt, on all engines of its plan.

    Attributes
    ----------
    read_ms
        Engine time to read the prompt, in milliseconds.
    expected_ms
        Expected time to the first event, in milliseconds.
    decode_ms_per_s
        Engine time used per second while the answer is generated, in
        milliseconds.
    memory_tokens
        Memory used while the attempt runs, in tokens.
    """

    read_ms: float
    expected_ms: float
    decode_ms_per_s: float
    memory_tokens: int

    @classmethod
    def from_request(
        cls,
        request: ReadRequest,
        costs: EngineCosts,
        expected_ms: float = 0,
    ) -> Self:
        """Return the work of a request.

        Parameters
        ----------
        expected_ms
            Expected time to the first event by the plan of the attempt, in
            milliseconds; 0 if the request has no plan yet.
        """
        read_ms = costs.read_ms(request.prompt_tokens)
        return cls(
            read_ms=read_ms,
            expected_ms=max(1, expected_ms or read_ms),
            decode_ms_per_s=decode_ms_per_s(costs, request.prompt_tokens),
            memory_tokens=request.prompt_tokens + request.answer_tokens,
        )


def decode_ms_per_s(costs: EngineCosts, context_tokens: int) -> float:
    """Return the engine time that one answer uses per second.

    Shares matter only while the fleet is full. The time is therefore the part
    of a decode step that a request causes at an engine whose slots are all in
    use: an equal part of the fixed duration, its own generating time, and the
    time that its context adds.

    Examples
    --------
    >>> costs = EngineCosts(
    ...     slots=8, memory_tokens=315_000, step_ms=0.85, writer_ms=0.0085,
    ...     context_ms=0.00285, read_tokens_per_ms=177, pair_ms=0.184,
    ...     pass_steps=51,
    ... )
    >>> round(decode_ms_per_s(costs, 0)), round(decode_ms_per_s(costs, 300_000))
    (125, 547)
    """
    slots = max(1, costs.slots)
    context_ms = costs.context_ms * context_tokens / _THOUSAND
    step_ms = costs.step_ms + costs.writer_ms * slots + context_ms
    own_ms = costs.step_ms / slots + costs.writer_ms + context_ms
    return _MS * own_ms / step_ms if step_ms else _MS / slots
