"""Tells whether an endpoint has gone on after the beginning of an answer."""

from sycamore_core.decisions.crashes import BEGINNING_SECONDS

from .silence import SilenceWatch


class Beginning:
    """The beginning of the answer in one attempt.

    An endpoint that a part of a prompt crashes does not go on for long after
    the first output. If it does, none of the parts was the cause of a crash at
    that time.

    Parameters
    ----------
    watch
        Knows when the first event arrived. It also holds the request.
    """

    def __init__(self, watch: SilenceWatch) -> None:
        self.watch = watch
        self.context = watch.context
        self._is_recorded = False

    @property
    def is_safe(self) -> bool:
        """Whether the endpoint has gone on for a while after the beginning."""
        began_at = self.watch.first_event_at
        if began_at is None:
            return False
        now = self.context.clock.monotonic()
        return now - began_at >= BEGINNING_SECONDS

    def record_event(self) -> None:
        """Record that the endpoint has sent an event."""
        if self.is_safe and not self._is_recorded:
            self.record()

    def record(self) -> None:
        """Record that the request did not crash its endpoint as it began.

        An answer without events began after it was sent.
        """
        self._is_recorded = True
        began_at = self.watch.first_event_at or self.watch.last_event_at
        self.context.suspects.quarantine.record_beginning(
            self.watch.call.content.parts,
            began_at,
            self.context.clock.monotonic(),
        )
