"""What one entry has in progress at one engine."""

import msgspec

from ...ids import RequestId
from ...routing import EngineLoad, Unread

_MS = 1000.0
#: Part of the time by which reading is overdue that it is taken to need yet.
#: An engine that others load unseen takes longer than was estimated; without
#: this it would look idle from that moment on and draw more work.
_OVERDUE_PART = 0.5
#: Characters of a request's id by which peers tell its parts apart.
_KEY_LENGTH = 8


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
    done_at
        When it will have been read, on the monotonic clock.
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
    done_at: float = 0


class EngineWork:
    """The requests of this entry at one engine.

    Examples
    --------
    >>> work = EngineWork()
    >>> work.add('r1', Assignment(read_ms=200), now=0)
    >>> round(work.load(now=0.05).backlog_ms)
    150
    """

    def __init__(self) -> None:
        self.assignments: dict[RequestId, Assignment] = {}
        self.read_until: float = 0

    def add(
        self, request_id: RequestId, assignment: Assignment, now: float
    ) -> None:
        """Note that a request was sent to the engine."""
        seconds = assignment.read_ms / _MS
        self.read_until = max(self.read_until, now) + seconds
        assignment.done_at = self.read_until
        if assignment.is_ahead:
            assignment.done_at = now + seconds
            for other in self.assignments.values():
                other.done_at += seconds
        self.assignments[request_id] = assignment

    def first_token(self, request_id: RequestId, now: float) -> None:
        """Note that a request's prompt has been read."""
        assignment = self.assignments.get(request_id)
        if assignment is not None and not assignment.is_writing:
            assignment.is_writing = True
            self._settle(now)

    def end(self, request_id: RequestId, now: float) -> None:
        """Note that a request is over."""
        if self.assignments.pop(request_id, None) is not None:
            self._settle(now)

    def load(self, now: float) -> EngineLoad:
        """Return what these requests have the engine do."""
        load = EngineLoad(backlog_ms=self._backlog(now) * _MS)
        unread: list[Unread] = []
        for request_id, assignment in self.assignments.items():
            load.memory_tokens += assignment.memory_tokens
            if assignment.is_home:
                _count_home(load, assignment)
            if not assignment.is_writing:
                unread.append(_unread(request_id, assignment, now))
        load.unread = tuple(unread)
        return load

    def _backlog(self, now: float) -> float:
        left = self.read_until - now
        if left >= 0:
            return left
        is_reading = any(
            assignment.is_home and not assignment.is_writing
            for assignment in self.assignments.values()
        )
        return -left * _OVERDUE_PART if is_reading else 0

    def _settle(self, now: float) -> None:
        # Estimates of reading add up; the first moment at which nothing is
        # left to read sets them right.
        if all(
            assignment.is_writing for assignment in self.assignments.values()
        ):
            self.read_until = now


def _unread(
    request_id: RequestId, assignment: Assignment, now: float
) -> Unread:
    return Unread(
        request_id[:_KEY_LENGTH],
        assignment.weight,
        max(0, assignment.done_at - now) * _MS,
        (assignment.promised_at - now) * _MS,
    )


def _count_home(load: EngineLoad, assignment: Assignment) -> None:
    load.requests += 1
    if assignment.is_writing:
        load.writers += 1
        load.context_tokens += assignment.context_tokens
    if assignment.pause_ms:
        load.pause_ms = min(load.pause_ms, assignment.pause_ms)
