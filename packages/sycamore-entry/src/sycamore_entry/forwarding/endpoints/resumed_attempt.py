"""Goes on with an attempt that was kept as the fallback of its request."""

import abc
import math
from typing import Self

from ..errors import AttemptError
from .attempt import Attempt
from .channel import EndpointChannel
from .fallback import Fallback
from .fallback_answer import FallbackAnswer
from .fallback_stream import FallbackStream
from .relay import AnswerRelay
from .silence import SilenceWatch


class ResumedAttempt(Attempt, abc.ABC):
    """The rest of an attempt that was interrupted; nothing is sent anew.

    Parameters
    ----------
    watch
        Watches the answer from now on.
    interrupted
        The attempt that goes on.
    """

    is_resumed = True

    def __init__(self, watch: SilenceWatch, interrupted: Fallback) -> None:
        super().__init__(watch)
        self.interrupted = interrupted
        self.scope.channel = interrupted.channel
        watch.first_event_at = interrupted.first_event_at

    async def run(self, relay: AnswerRelay) -> None:
        """Relay the rest of the answer.

        Raises
        ------
        AttemptError
            If the caller has not received a complete answer.
        """
        try:
            await self._run_counted(relay)
        except BaseException:
            if self.fallback is None:
                self.interrupted.close()
            raise
        self.end_timing()
        self._release_reservations()

    @abc.abstractmethod
    def record_progress(self, relay: AnswerRelay) -> None:
        """Record what the endpoint has done before."""

    async def _run_reserved(self, relay: AnswerRelay) -> None:
        self.record_progress(relay)
        channel = self.interrupted.channel
        channel.reader.go_on()
        try:
            await self._relay(channel, relay)
        except AttemptError:
            self.keep_or_close(channel)
            raise
        self.context.pool.release(self.placement.primary, channel)


class ResumedStream(ResumedAttempt):
    """The rest of a stream."""

    @classmethod
    def from_fallback(cls, watch: SilenceWatch, kept: FallbackStream) -> Self:
        """Return the attempt that goes on with a stream."""
        resumed = cls(watch, kept)
        resumed.stream = kept.stream
        resumed.reservations = kept.reservations
        return resumed

    def record_progress(self, relay: AnswerRelay) -> None:
        """Record that the stream has begun."""
        members = self.placement.plan.members
        loads = self.context.dispatcher.loads
        loads.record_first_token(self.call.request_id, members)
        self.usage.record_first_event()
        # Nothing was read meanwhile.
        relay.forward_seconds = math.inf

    async def _relay_watched(
        self,
        channel: EndpointChannel,
        relay: AnswerRelay,
    ) -> None:
        assert self.stream is not None
        await relay.relay_stream(self.stream, self._on_event)


class ResumedCall(ResumedAttempt):
    """A plain call whose answer was awaited before."""

    @classmethod
    def from_fallback(cls, watch: SilenceWatch, kept: FallbackAnswer) -> Self:
        """Return the attempt that goes on with a call."""
        resumed = cls(watch, kept)
        resumed.timing = kept.timing
        return resumed

    def record_progress(self, relay: AnswerRelay) -> None:
        """Record nothing: a call has no parts."""


def resume(watch: SilenceWatch, kept: Fallback) -> ResumedAttempt:
    """Return the attempt that goes on with one that was given up."""
    if isinstance(kept, FallbackStream):
        return ResumedStream.from_fallback(watch, kept)
    assert isinstance(kept, FallbackAnswer)
    return ResumedCall.from_fallback(watch, kept)
