"""What becomes of one request of a replay."""

import msgspec
from sycamore_core.decisions.direct import ReadPlan

from .loads import ReplayRequest

#: Callers leave a stream that pauses for longer: two seconds, four times the
#: objective or eight times the promised pause, whichever is longest.
_LEAVE_SECONDS = 2.0
_LEAVE_OBJECTIVES = 4
_LEAVE_PAUSES = 8
_MS = 1000.0


class Answer(msgspec.Struct, eq=False):
    """The answer to one request.

    Attributes
    ----------
    tried_at
        When its caller sent it; later than its arrival if it was refused.
    unread_parts
        Parts of its prompt that are not read yet.
    first_at, last_at, ended_at
        Times of its first and latest event and of its end, in seconds.
    longest_pause
        Longest time between two events, in seconds.
    """

    request: ReplayRequest
    tried_at: float
    plan: ReadPlan | None = None
    unread_parts: int = 0
    events: int = 0
    first_at: float | None = None
    last_at: float = 0
    ended_at: float | None = None
    longest_pause: float = 0
    refusals: int = 0
    has_left: bool = False

    @property
    def patience(self) -> float:
        """Return the pause after which the caller leaves, in seconds."""
        kind = self.request.kind
        return max(
            _LEAVE_SECONDS,
            _LEAVE_OBJECTIVES * kind.objective_ms / _MS,
            _LEAVE_PAUSES * kind.pause_ms / _MS,
        )

    @property
    def is_whole(self) -> bool:
        """Whether its caller received all of it."""
        return self.ended_at is not None and not self.has_left

    @property
    def is_first_late(self) -> bool:
        """Whether the first event came too late or never."""
        if self.first_at is None:
            return True
        waited_ms = (self.first_at - self.request.at) * _MS
        return waited_ms > self.request.kind.objective_ms

    @property
    def is_pause_late(self) -> bool:
        """Whether a pause was longer than promised."""
        return self.longest_pause * _MS > self.request.kind.pause_ms

    @property
    def worth(self) -> float:
        """Return what it is worth to its operator."""
        if not self.is_whole:
            return 0
        kind = self.request.kind
        is_late = self.is_first_late or self.is_pause_late
        worth = kind.late_worth if is_late else kind.worth
        return worth * self.request.size_factor

    def event(self, now: float) -> None:
        """Note an event; the caller may have left before it."""
        if self.events:
            pause = now - self.last_at
            self.longest_pause = max(self.longest_pause, pause)
            self.has_left = pause > self.patience
        else:
            self.first_at = now
        self.events += 1
        self.last_at = now
        if self.has_left or self.events >= self.request.passes:
            self.ended_at = now
