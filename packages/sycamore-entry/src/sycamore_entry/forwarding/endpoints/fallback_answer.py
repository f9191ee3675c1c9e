"""A plain call that was given up, whose answer may still come.

All replicas of a service may be slow. A call that is begun anew at another one
has less time than the first had, so that its caller gets no answer although the
first replica was about to give one. The first that answers is taken.
"""

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.errors import SycamoreError

from ..callers.refusals import RefusalCause
from ..placement.plain_admission import PlainTiming
from .channel import EndpointChannel
from .fallback import Fallback
from .silence import SilenceWatch


class FallbackAnswer(Fallback):
    """One idempotent call of which nothing was forwarded.

    Attributes
    ----------
    timing
        Measures the call; None if it is not measured.
    """

    def __init__(
        self,
        watch: SilenceWatch,
        channel: EndpointChannel,
        timing: PlainTiming | None,
    ) -> None:
        super().__init__(watch, channel)
        self.timing = timing

    @property
    def is_ready(self) -> bool:
        """Whether a usable answer has arrived, or as much as is buffered.

        A failure does not replace an attempt that may still succeed.
        """
        reader = self.channel.reader
        if not (reader.is_complete or reader.is_full):
            return False
        try:
            head = self.channel.take_head()
        except SycamoreError:
            return False
        return head is not None and head.is_success and head.is_signed

    def log_kept(self, end: AttemptEnd) -> None:
        """Log that it is kept, and how its attempt ended."""
        self.context.log.info('call_kept_as_fallback', **self.log_fields(end))

    def log_resumed(self, reason: AttemptEnd | RefusalCause) -> None:
        """Log that it goes on, and why no other attempt replaces it."""
        self.context.log.info(
            'call_resumed_from_fallback', **self.log_fields(reason)
        )
