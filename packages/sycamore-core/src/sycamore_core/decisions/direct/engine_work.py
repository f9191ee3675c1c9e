"""The work that one entry has in progress at one engine."""

import msgspec

from ...ids import RequestId
from ...routing import EngineLoad, PauseObjective, UnreadPrompt

_MS = 1000.0
#: Characters of a request id that identify the request's parts among peers.
_KEY_LENGTH = 8


def request_key(request_id: RequestId) -> str:
    """Return the key that identifies a request's parts among peers."""
    return request_id[:_KEY_LENGTH]


class Assignment(msgspec.Struct, kw_only=True):
    """The part of one request that one engine processes.

    Attributes
    ----------
    read_ms
        Time that the engine needs to read its part of the prompt, in
        milliseconds.
    weight
        Number of short requests that the request's objective counts for.
    promised_at
        Time at which the first event is due, on the monotonic clock.
    context_tokens
        Context length of the request's steps while the engine generates; 0 at
        an engine that only helps to read.
    memory_tokens
        Memory of the engine that the part occupies, in tokens.
    pause_ms
        Longest pause between two events that the objective allows, in
        milliseconds; 0 if there is no such objective.
    is_primary
        Whether this engine generates the answer.
    is_ahead
        Whether this is a part of a split prompt. Engines read such parts ahead
        of all others, including earlier parts.
    is_generating
        Whether the first token has arrived.
    sent_at
        Time at which the request was sent, on the monotonic clock.
    """

    read_ms: float
    weight: float = 1
    promised_at: float = 0
    context_tokens: int = 0
    memory_tokens: int = 0
    pause_ms: float = 0
    is_primary: bool = True
    is_ahead: bool = False
    is_generating: bool = False
    sent_at: float = 0


class EngineWork:
    """The requests of this entry at one engine.

    Examples
    --------
    >>> work = EngineWork()
    >>> work.add('r1', Assignment(read_ms=200), now=0)
    >>> work.load(now=0.05).unread[0].waited_ms
    50.0
    """

    def __init__(self) -> None:
        self.assignments: dict[RequestId, Assignment] = {}

    @property
    def request_count(self) -> int:
        """Number of the requests whose answers the engine generates."""
        parts = self.assignments.values()
        return sum(assignment.is_primary for assignment in parts)

    def add(
        self, request_id: RequestId, assignment: Assignment, now: float
    ) -> None:
        """Record that a request was sent to the engine."""
        assignment.sent_at = now
        self.assignments[request_id] = assignment

    def record_first_token(self, request_id: RequestId) -> None:
        """Record that the prompt of a request has been read."""
        assignment = self.assignments.get(request_id)
        if assignment is not None:
            assignment.is_generating = True

    def end(self, request_id: RequestId) -> None:
        """Remove a request that has ended."""
        self.assignments.pop(request_id, None)

    def load(self, now: float) -> EngineLoad:
        """Return the load that these requests put on the engine."""
        load = EngineLoad()
        unread: list[UnreadPrompt] = []
        weights: dict[float, float] = {}
        for request_id, assignment in self.assignments.items():
            load.memory_tokens += assignment.memory_tokens
            if assignment.is_primary:
                _add_primary(load, assignment, weights)
            if not assignment.is_generating:
                unread.append(_unread(request_id, assignment, now))
        load.unread = tuple(unread)
        load.pause_objectives = tuple(
            PauseObjective(pause_ms, weight)
            for pause_ms, weight in weights.items()
        )
        return load


def _unread(
    request_id: RequestId, assignment: Assignment, now: float
) -> UnreadPrompt:
    return UnreadPrompt(
        request_key(request_id),
        assignment.weight,
        assignment.read_ms,
        (now - assignment.sent_at) * _MS,
        (assignment.promised_at - now) * _MS,
        assignment.is_ahead,
        assignment.pause_ms,
    )


def _add_primary(
    load: EngineLoad,
    assignment: Assignment,
    weights: dict[float, float],
) -> None:
    """Add a request whose answer the engine generates.

    Parameters
    ----------
    weights
        Sum of the weights of generating requests, by their longest allowed
        pause in milliseconds; updated in place.
    """
    load.requests += 1
    if not assignment.is_generating:
        return
    load.writers += 1
    load.context_tokens += assignment.context_tokens
    pause_ms = assignment.pause_ms
    if pause_ms:
        weights[pause_ms] = weights.get(pause_ms, 0) + assignment.weight
