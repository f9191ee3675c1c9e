"""What one entry has in progress at one engine."""

import msgspec

from ...ids import RequestId
from ...routing import EngineLoad, PausePromise, Unread

_MS = 1000.0
#: Characters of a request's id by which peers tell its parts apart.
_KEY_LENGTH = 8


def key_of(request_id: RequestId) -> str:
    """Return the name by which peers know a request's parts."""
    return request_id[:_KEY_LENGTH]


class Assignment(msgspec.Struct, kw_only=True):
    """Part of one request at one engine.

    Attributes
    ----------
    read_ms
        Time that the engine needs to read its part of the prompt.
    weight
        How many short turns its promise counts for.
    promised_at
        By when its first event was promised, on the monotonic clock.
    context_tokens
        Tokens that each of its steps carries while it generates; 0 at an
        engine that only helps to read.
    memory_tokens
        Tokens that it takes of the engine's memory.
    pause_ms
        Longest pause between two events that its caller was promised; 0 if
        nothing was.
    is_home
        Whether this engine generates the answer.
    is_ahead
        Whether it is a part of a split prompt. Engines read such parts ahead
        of all others, also of earlier parts.
    is_writing
        Whether its first token has come.
    sent_at
        When it was sent, on the monotonic clock.
    """

    read_ms: float
    weight: float = 1
    promised_at: float = 0
    context_tokens: int = 0
    memory_tokens: int = 0
    pause_ms: float = 0
    is_home: bool = True
    is_ahead: bool = False
    is_writing: bool = False
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

    def add(
        self, request_id: RequestId, assignment: Assignment, now: float
    ) -> None:
        """Note that a request was sent to the engine."""
        assignment.sent_at = now
        self.assignments[request_id] = assignment

    def first_token(self, request_id: RequestId) -> None:
        """Note that a request's prompt has been read."""
        assignment = self.assignments.get(request_id)
        if assignment is not None:
            assignment.is_writing = True

    def end(self, request_id: RequestId) -> None:
        """Note that a request is over."""
        self.assignments.pop(request_id, None)

    def load(self, now: float) -> EngineLoad:
        """Return what these requests have the engine do."""
        load = EngineLoad()
        unread: list[Unread] = []
        promised: dict[float, float] = {}
        for request_id, assignment in self.assignments.items():
            load.memory_tokens += assignment.memory_tokens
            if assignment.is_home:
                _count_home(load, assignment, promised)
            if not assignment.is_writing:
                unread.append(_unread(request_id, assignment, now))
        load.unread = tuple(unread)
        load.promises = tuple(
            PausePromise(pause_ms, weight)
            for pause_ms, weight in promised.items()
        )
        return load


def _unread(
    request_id: RequestId, assignment: Assignment, now: float
) -> Unread:
    return Unread(
        key_of(request_id),
        assignment.weight,
        assignment.read_ms,
        (now - assignment.sent_at) * _MS,
        (assignment.promised_at - now) * _MS,
        assignment.is_ahead,
        assignment.pause_ms,
    )


def _count_home(
    load: EngineLoad,
    assignment: Assignment,
    promised: dict[float, float],
) -> None:
    load.requests += 1
    if not assignment.is_writing:
        return
    load.writers += 1
    load.context_tokens += assignment.context_tokens
    pause_ms = assignment.pause_ms
    if pause_ms:
        promised[pause_ms] = promised.get(pause_ms, 0) + assignment.weight
