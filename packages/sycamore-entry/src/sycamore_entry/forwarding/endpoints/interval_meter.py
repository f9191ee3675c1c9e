"""Measures the pace of an engine by the events of one stream."""

from .relay import AnswerRelay
from .silence import SilenceWatch

_MS = 1000.0
#: Time to forward events beyond which the next interval is not measured, in
#: seconds. While a caller does not read, nothing is read from the engine.
_MAX_FORWARD_SECONDS = 0.01


class IntervalMeter:
    """Records the intervals between the events of one stream.

    Parameters
    ----------
    watch
        Watch of the attempt, which records the time of the last event.

    Attributes
    ----------
    relay
        Forwards the events to the caller; None before the attempt runs.
    """

    def __init__(self, watch: SilenceWatch) -> None:
        self.watch = watch
        self.relay: AnswerRelay | None = None

    def record_event(self) -> None:
        """Record the interval that ends now; the watch records it later."""
        watch = self.watch
        costs = watch.call.service.engine
        if costs is None or not watch.context.settings.measures_pace:
            return
        if not watch.has_event or self._was_blocked():
            return
        now = watch.context.clock.monotonic()
        watch.context.dispatcher.record_interval(
            watch.placement.primary,
            costs,
            (now - watch.last_event_at) * _MS,
        )

    def _was_blocked(self) -> bool:
        """Return whether the caller held up the events before this one."""
        relay = self.relay
        return relay is not None and (
            relay.forward_seconds > _MAX_FORWARD_SECONDS
        )
