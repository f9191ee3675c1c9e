"""A stream that was given up and goes on if no other attempt replaces it.

An endpoint that pauses, or that a peer reports as gone, may go on. If its
connection were closed as the next attempt begins, the answer would end in the
middle as soon as the next endpoint refuses the connection, rejects the request
or crashes. The connection is therefore kept until the next attempt has an
event.
"""

import contextlib

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.ids import RequestId

from ..callers.refusals import RefusalCause
from ..context import ForwardingContext
from ..placement.read_requests import make_assignments
from .relayed_stream import RelayedStream
from .reservations import Reservations
from .silence import SilenceWatch


class FallbackStream:
    """One interrupted stream, from the end of its attempt on.

    Its endpoints work on it until it ends, so that it counts as their load.

    Attributes
    ----------
    stream
        The stream, with the bytes that were read and not forwarded.
    reservations
        Memory at the helpers of the attempt; None without helpers, and once
        the stream has ended.
    first_event_at
        Time of the first event, on the monotonic clock, in seconds.
    """

    def __init__(
        self,
        watch: SilenceWatch,
        stream: RelayedStream,
        reservations: Reservations | None,
    ) -> None:
        self.context = watch.context
        self.call = watch.call
        self.placement = watch.placement
        self.stream = stream
        self.reservations = reservations
        self.first_event_at = watch.first_event_at
        self._counted = contextlib.ExitStack()

    @property
    def may_go_on(self) -> bool:
        """Whether the rest of the stream has arrived or may still arrive."""
        channel = self.stream.channel
        return channel.is_interrupted or channel.is_complete

    def begin_counting(self) -> None:
        """Count the stream where it may go on."""
        self._count_load()
        zones = self.placement.zones
        self._counted.enter_context(self.context.running.track(zones))
        self._counted.enter_context(
            self.context.suspects.track_place(
                self.call.content, self.placement.primary.endpoint
            ),
        )
        self.stream.channel.reader.on_end = self._end_work

    def end_counting(self) -> None:
        """Count the stream no longer, as it goes on or has ended."""
        self.stream.channel.reader.on_end = None
        self._counted.close()

    def close(self) -> None:
        """Close the connection; the endpoint then cancels the request."""
        self.stream.channel.close()
        self._end_work()

    def _end_work(self) -> None:
        """Count and reserve nothing any more, as no endpoint works on it.

        The next attempt may read the prompt for longer than memory may stay
        reserved after the end of its request.
        """
        self.end_counting()
        if self.reservations is not None:
            self.reservations.release()
            self.reservations = None

    def _count_load(self) -> None:
        call, plan = self.call, self.placement.plan
        dispatcher = self.context.dispatcher
        request_id = RequestId(f'{call.request_id} fallback')
        now = self.context.clock.monotonic()
        dispatcher.begin(request_id, make_assignments(call, plan, now))
        dispatcher.loads.record_first_token(request_id, plan.members)
        self._counted.callback(dispatcher.end, request_id, self.placement)


class KeptFallback:
    """The fallback of one exchange, if it has one.

    Attributes
    ----------
    kept
        The interrupted stream; None if there is none.
    """

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.kept: FallbackStream | None = None

    @property
    def may_go_on(self) -> bool:
        """Whether there is a stream that may replace the next attempt."""
        return self.kept is not None and self.kept.may_go_on

    def keep(self, fallback: FallbackStream, end: AttemptEnd) -> None:
        """Keep the stream of an attempt that was given up."""
        self.close()
        self.kept = fallback
        fallback.begin_counting()
        self.context.log.info(
            'stream_kept_as_fallback', **_log_fields(fallback, end)
        )

    def take(self, reason: AttemptEnd | RefusalCause) -> FallbackStream | None:
        """Return the stream to go on with; None if there is none.

        Parameters
        ----------
        reason
            Why no other attempt replaces the stream, for the log.
        """
        fallback = self.kept
        if fallback is None:
            return None
        self.kept = None
        fallback.end_counting()
        outcomes = self.context.metrics.outcomes
        outcomes.resumed_fallbacks.add(reason)
        self.context.log.info(
            'stream_resumed_from_fallback', **_log_fields(fallback, reason)
        )
        return fallback

    def close(self) -> None:
        """Close the stream, as another replaces it or the request is over."""
        fallback = self.kept
        if fallback is not None:
            self.kept = None
            fallback.close()


def _log_fields(
    fallback: FallbackStream, reason: AttemptEnd | RefusalCause
) -> dict[str, str | bool]:
    channel = fallback.stream.channel
    return {
        'request_id': fallback.call.request_id,
        'endpoint': fallback.placement.primary.endpoint,
        'reason': reason.value,
        'is_open': channel.is_interrupted,
        'is_complete': channel.is_complete,
    }
