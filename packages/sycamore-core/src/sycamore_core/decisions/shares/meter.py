"""Meters the engine time and memory that workspaces use through one entry.

Reading is charged evenly over the time until the expected first event. What is
left is charged when the event arrives sooner. If the whole reading were charged
at once, a prompt of a million tokens would count as more than the fleet and be
forgotten before it is read. Each attempt is charged in full, also one that
repeats refused work: otherwise, callers that retry would use more than the
share of their key.
"""

import heapq
import math

import msgspec

from ...ids import WorkspaceId
from .attempt_work import AttemptWork

#: Window over which engine time is averaged, in seconds: about the time for
#: which a short request occupies a slot.
METER_SECONDS = 2.0
#: Time constant of the exponential average, in seconds. The mean age of what
#: it counts is that of the window.
_DECAY_SECONDS = METER_SECONDS / 2
#: Usage below which a workspace without requests is forgotten, in milliseconds
#: of engine time per second. A short request uses about 150.
_MIN_ENGINE_MS_PER_S = 10
_MS = 1000.0


class _Reading(msgspec.Struct, order=True):
    """A prompt that is being read, and its engine time per second."""

    ends_at: float
    ms_per_s: float


class WorkspaceMeter(msgspec.Struct):
    """The usage of one workspace.

    Attributes
    ----------
    engine_ms_per_s
        Average engine time per second at `updated_at`, in milliseconds.
    charged_ms_per_s
        Engine time that the running attempts use per second at present.
    memory_tokens
        Memory of the running attempts, in tokens.
    running, waiting
        Number of attempts that run, and of requests that wait for a slot.
    waiting_ms_per_s, waiting_tokens
        Engine time per second and memory that the waiting requests would use.
    """

    updated_at: float
    engine_ms_per_s: float = 0
    charged_ms_per_s: float = 0
    memory_tokens: int = 0
    running: int = 0
    waiting: int = 0
    waiting_ms_per_s: float = 0
    waiting_tokens: int = 0
    _readings: list[_Reading] = msgspec.field(default_factory=list)

    @property
    def is_active(self) -> bool:
        """Whether the workspace has requests or used engines recently."""
        if self.running or self.waiting:
            return True
        return self.engine_ms_per_s >= _MIN_ENGINE_MS_PER_S

    def advance(self, now: float) -> None:
        """Bring the average up to a time."""
        while self._readings and self._readings[0].ends_at <= now:
            ended = heapq.heappop(self._readings)
            self._average_until(ended.ends_at)
            self.charged_ms_per_s -= ended.ms_per_s
        self._average_until(now)

    def add_waiting(self, work: AttemptWork, sign: int = 1) -> None:
        """Add a waiting request, or remove it with the sign -1."""
        self.waiting += sign
        self.waiting_tokens += sign * work.memory_tokens
        self.waiting_ms_per_s += sign * work.decode_ms_per_s
        if not self.waiting:
            # Removes the rounding errors of the sum.
            self.waiting_ms_per_s = 0

    def charge(self, engine_ms: float) -> None:
        """Charge engine time at once, in milliseconds."""
        self.engine_ms_per_s += engine_ms / _DECAY_SECONDS

    def begin_reading(self, work: AttemptWork) -> _Reading:
        """Charge the reading of a prompt until its expected first event."""
        reading = _Reading(
            self.updated_at + work.expected_ms / _MS,
            work.read_ms / work.expected_ms * _MS,
        )
        heapq.heappush(self._readings, reading)
        self.charged_ms_per_s += reading.ms_per_s
        return reading

    def stop_reading(self, reading: _Reading) -> float:
        """Stop charging a prompt; return what was not charged, in ms."""
        seconds_left = max(0, reading.ends_at - self.updated_at)
        if not seconds_left:
            return 0
        left = reading.ms_per_s * seconds_left
        self.charged_ms_per_s -= reading.ms_per_s
        # It stays in the list until its end, without a charge.
        reading.ms_per_s = 0
        return left

    def _average_until(self, now: float) -> None:
        elapsed = max(0, now - self.updated_at)
        kept = math.exp(-elapsed / _DECAY_SECONDS)
        self.engine_ms_per_s *= kept
        self.engine_ms_per_s += self.charged_ms_per_s * (1 - kept)
        self.updated_at = max(self.updated_at, now)


class RunningWork:
    """The running attempt of a request, as its workspace is charged for it."""

    def __init__(
        self, meter: WorkspaceMeter, work: AttemptWork, now: float
    ) -> None:
        self.meter = meter
        self.work = work
        self.is_generating = False
        meter.advance(now)
        meter.running += 1
        meter.memory_tokens += work.memory_tokens
        self._reading = meter.begin_reading(work)

    def record_first_event(self, now: float) -> None:
        """Charge what remains of the reading, and the decoding from now on."""
        if self.is_generating:
            return
        self.is_generating = True
        self.meter.advance(now)
        self.meter.charge(self.meter.stop_reading(self._reading))
        self.meter.charged_ms_per_s += self.work.decode_ms_per_s

    def end(self, now: float) -> None:
        """Record that the attempt has ended."""
        meter = self.meter
        meter.advance(now)
        meter.stop_reading(self._reading)
        if self.is_generating:
            meter.charged_ms_per_s -= self.work.decode_ms_per_s
        meter.running -= 1
        meter.memory_tokens -= self.work.memory_tokens
        if not meter.running:
            # Removes the rounding errors of the sum.
            meter.charged_ms_per_s = 0


class UsageMeter:
    """Usage of the active workspaces of one entry.

    Attributes
    ----------
    workspaces
        The workspaces that have requests or used engines recently.
    waiting
        Number of requests that wait, of all workspaces.
    """

    def __init__(self) -> None:
        self.workspaces: dict[WorkspaceId, WorkspaceMeter] = {}
        self.waiting = 0

    def begin(
        self, workspace: WorkspaceId, work: AttemptWork, now: float
    ) -> RunningWork:
        """Record that an attempt begins."""
        return RunningWork(self._meter(workspace, now), work, now)

    def begin_wait(
        self, workspace: WorkspaceId, work: AttemptWork, now: float
    ) -> None:
        """Record that a request waits for a slot."""
        self._meter(workspace, now).add_waiting(work)
        self.waiting += 1

    def end_wait(self, workspace: WorkspaceId, work: AttemptWork) -> None:
        """Record that a request no longer waits for a slot."""
        self.workspaces[workspace].add_waiting(work, sign=-1)
        self.waiting -= 1

    def drop_inactive(self, now: float) -> None:
        """Bring all workspaces up to a time, and drop the inactive ones."""
        for kept in self.workspaces.values():
            kept.advance(now)
        self.workspaces = {
            workspace: meter
            for workspace, meter in self.workspaces.items()
            if meter.is_active
        }

    def _meter(self, workspace: WorkspaceId, now: float) -> WorkspaceMeter:
        meter = self.workspaces.get(workspace)
        if meter is None:
            meter = WorkspaceMeter(now)
            self.workspaces[workspace] = meter
        return meter
