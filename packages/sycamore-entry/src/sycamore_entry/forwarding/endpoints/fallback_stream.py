"""A stream that was given up and goes on if no other attempt replaces it."""

from sycamore_core.decisions.direct import AttemptEnd

from ..callers.refusals import RefusalCause
from .fallback import Fallback
from .relayed_stream import RelayedStream
from .reservations import Reservations
from .silence import SilenceWatch


class FallbackStream(Fallback):
    """One interrupted stream, from the end of its attempt on.

    Attributes
    ----------
    stream
        The stream, with the bytes that were read and not forwarded.
    reservations
        Memory at the helpers of the attempt; None without helpers, and once
        the stream has ended.
    """

    def __init__(
        self,
        watch: SilenceWatch,
        stream: RelayedStream,
        reservations: Reservations | None,
    ) -> None:
        super().__init__(watch, stream.channel)
        self.stream = stream
        self.reservations = reservations

    def end_work(self) -> None:
        """Count and reserve nothing any more, as no endpoint works on it.

        The next attempt may read the prompt for longer than memory may stay
        reserved after the end of its request.
        """
        super().end_work()
        if self.reservations is not None:
            self.reservations.release()
            self.reservations = None

    def count_load(self) -> None:
        """Count the stream as load of engines that have read its prompt."""
        super().count_load()
        loads = self.context.dispatcher.loads
        loads.record_first_token(self.request_id, self.placement.plan.members)

    def log_kept(self, end: AttemptEnd) -> None:
        """Log that it is kept, and how its attempt ended."""
        self.context.log.info('stream_kept_as_fallback', **self.log_fields(end))

    def log_resumed(self, reason: AttemptEnd | RefusalCause) -> None:
        """Log that it goes on, and why no other attempt replaces it."""
        self.context.log.info(
            'stream_resumed_from_fallback', **self.log_fields(reason)
        )
