"""What an engine publishes of its load, some time after it was so."""

from collections import deque

from .sequences import EngineLoad

#: Weight of the last step in the averages that the engine reports.
SMOOTHING = 0.2
#: Snapshots kept within the report's lag, so that its age is right to a tenth.
SNAPSHOTS_PER_LAG = 10


class LoadGauge:
    """Averages of the engine's speed, and snapshots of its load.

    Attributes
    ----------
    step_seconds
        Time of a step lately, in seconds; 0 if there was none.
    prefill_rate
        Prompt tokens computed a second lately; 0 if none were.
    """

    def __init__(self, lag_seconds: float) -> None:
        self.lag_seconds = lag_seconds
        self.step_seconds: float = 0
        self.prefill_rate: float = 0
        self.snapshots: deque[EngineLoad] = deque()

    def note_step(self, seconds: float, prefill_tokens: int) -> None:
        """Take the time of a step and the prompt tokens computed in it."""
        self.step_seconds = _smoothed(self.step_seconds, seconds)
        if prefill_tokens:
            rate = prefill_tokens / seconds
            self.prefill_rate = _smoothed(self.prefill_rate, rate)

    def due(self, now: float) -> bool:
        """Return whether the newest snapshot is old enough for another."""
        if not self.snapshots:
            return True
        interval = self.lag_seconds / SNAPSHOTS_PER_LAG
        return now >= self.snapshots[-1].at + interval

    def record(self, load: EngineLoad) -> None:
        """Keep a snapshot, and forget those that nobody will ask for."""
        self.snapshots.append(load)
        self.published(load.at)

    def published(self, now: float) -> EngineLoad:
        """Return the newest snapshot as old as the lag, or the first."""
        horizon = now - self.lag_seconds
        while len(self.snapshots) > 1:
            if self.snapshots[1].at > horizon:
                break
            self.snapshots.popleft()
        return self.snapshots[0]


def _smoothed(average: float, sample: float) -> float:
    if not average:
        return sample
    return average + SMOOTHING * (sample - average)
