"""Goes on with a stream that was kept as the fallback of its request."""

import math

from ..errors import AttemptError
from .attempt import Attempt
from .channel import EndpointChannel
from .fallback_stream import FallbackStream
from .relay import AnswerRelay
from .silence import SilenceWatch


class ResumedAttempt(Attempt):
    """The rest of an attempt that was interrupted; nothing is sent anew.

    Parameters
    ----------
    watch
        Watches the stream from now on.
    interrupted
        The stream that goes on.
    """

    is_resumed = True

    def __init__(
        self, watch: SilenceWatch, interrupted: FallbackStream
    ) -> None:
        super().__init__(watch)
        self.interrupted = interrupted
        self.stream = interrupted.stream
        self.reservations = interrupted.reservations
        self.scope.channel = interrupted.stream.channel
        watch.first_event_at = interrupted.first_event_at

    async def run(self, relay: AnswerRelay) -> None:
        """Relay the rest of the stream.

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
        self._release_reservations()

    async def _run_reserved(self, relay: AnswerRelay) -> None:
        members = self.placement.plan.members
        loads = self.context.dispatcher.loads
        loads.record_first_token(self.call.request_id, members)
        self.usage.record_first_event()
        # Nothing was read meanwhile.
        relay.forward_seconds = math.inf
        channel = self.interrupted.stream.channel
        channel.reader.go_on()
        try:
            await self._relay(channel, relay)
        except AttemptError:
            self._keep_or_close(channel)
            raise
        self.context.pool.release(self.placement.primary, channel)

    async def _relay_watched(
        self,
        channel: EndpointChannel,
        relay: AnswerRelay,
    ) -> None:
        await relay.relay_stream(self.interrupted.stream, self._on_event)
