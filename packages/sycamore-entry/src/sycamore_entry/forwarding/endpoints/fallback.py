"""An attempt that was given up and goes on if no other attempt replaces it.

An endpoint that is silent, or that a peer reports as gone, may go on. If its
connection were closed as the next attempt begins, the answer would be lost as
soon as the next endpoint refuses the connection, rejects the request, crashes
or is as slow. The connection is therefore kept until the next attempt has an
answer.
"""

import abc
import asyncio
import contextlib
from collections.abc import AsyncIterator

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.ids import RequestId

from ..callers.refusals import RefusalCause
from ..context import ForwardingContext
from ..errors import FallbackReadyError
from ..placement.read_requests import make_assignments
from .channel import EndpointChannel
from .silence import SilenceWatch


class Fallback(abc.ABC):
    """One interrupted attempt, from its end on.

    Its endpoints work on it until it ends, so that it counts as their load.

    Attributes
    ----------
    channel
        The connection, with the bytes that were read and not forwarded.
    first_event_at
        Time of the first event, on the monotonic clock, in seconds; None
        before.
    """

    def __init__(self, watch: SilenceWatch, channel: EndpointChannel) -> None:
        self.context = watch.context
        self.call = watch.call
        self.placement = watch.placement
        self.channel = channel
        self.first_event_at = watch.first_event_at
        call_id = self.call.request_id
        self.request_id = RequestId(f'{call_id} fallback')
        self.counted = contextlib.ExitStack()

    @property
    def may_go_on(self) -> bool:
        """Whether the rest of the answer has arrived or may still arrive."""
        return self.channel.is_interrupted or self.channel.is_complete

    @property
    def is_ready(self) -> bool:
        """Whether it replaces the next attempt, as its answer has arrived."""
        return False

    @abc.abstractmethod
    def log_kept(self, end: AttemptEnd) -> None:
        """Log that it is kept, and how its attempt ended."""

    @abc.abstractmethod
    def log_resumed(self, reason: AttemptEnd | RefusalCause) -> None:
        """Log that it goes on, and why no other attempt replaces it."""

    def begin_counting(self) -> None:
        """Count the attempt where it may go on."""
        self.count_load()
        zones = self.placement.zones
        self.counted.enter_context(self.context.running.track(zones))
        self.counted.enter_context(
            self.context.suspects.track_place(
                self.call.content, self.placement.primary.endpoint
            ),
        )
        self.channel.reader.on_end = self.end_work

    def end_counting(self) -> None:
        """Count the attempt no longer, as it goes on or has ended."""
        self.channel.reader.on_end = None
        self.counted.close()

    def close(self) -> None:
        """Close the connection; the endpoint then cancels the request."""
        self.channel.close()
        self.end_work()

    def end_work(self) -> None:
        """Count nothing any more, as no endpoint works on it."""
        self.end_counting()

    def count_load(self) -> None:
        """Count the attempt as load of its endpoints."""
        call, plan = self.call, self.placement.plan
        dispatcher = self.context.dispatcher
        now = self.context.clock.monotonic()
        dispatcher.begin(self.request_id, make_assignments(call, plan, now))
        self.counted.callback(dispatcher.end, self.request_id, self.placement)

    def log_fields(
        self, reason: AttemptEnd | RefusalCause
    ) -> dict[str, str | bool]:
        """Return the fields of a log line."""
        return {
            'request_id': self.call.request_id,
            'endpoint': self.placement.primary.endpoint,
            'reason': reason.value,
            'is_open': self.channel.is_interrupted,
            'is_complete': self.channel.is_complete,
        }


class KeptFallback:
    """The fallback of one exchange, if it has one.

    Attributes
    ----------
    kept
        The interrupted attempt; None if there is none.
    """

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.kept: Fallback | None = None
        self._scope: asyncio.Timeout | None = None

    @property
    def may_go_on(self) -> bool:
        """Whether there is an attempt that may replace the next one."""
        return self.kept is not None and self.kept.may_go_on

    def keep(self, fallback: Fallback, end: AttemptEnd) -> None:
        """Keep the attempt that was given up."""
        self.close()
        self.kept = fallback
        fallback.begin_counting()
        fallback.log_kept(end)

    def take(self, reason: AttemptEnd | RefusalCause) -> Fallback | None:
        """Return the attempt to go on with; None if there is none.

        Parameters
        ----------
        reason
            Why no other attempt replaces it, for the log.
        """
        fallback = self.kept
        if fallback is None:
            return None
        self._forget()
        fallback.end_counting()
        outcomes = self.context.metrics.outcomes
        outcomes.resumed_fallbacks.add(reason)
        fallback.log_resumed(reason)
        return fallback

    def close(self) -> None:
        """Close the attempt, as another replaces it or the request is over."""
        fallback = self.kept
        if fallback is not None:
            self._forget()
            fallback.close()

    @contextlib.asynccontextmanager
    async def ending_when_ready(self) -> AsyncIterator[None]:
        """Run the next attempt until the answer of the kept one has arrived.

        Raises
        ------
        FallbackReadyError
            If it has arrived.
        """
        if self.kept is None:
            yield
            return
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._watch(self.kept, scope)
                yield
        except TimeoutError as error:
            if scope.expired():
                raise FallbackReadyError from error
            raise
        finally:
            self._scope = None

    def _watch(self, fallback: Fallback, scope: asyncio.Timeout) -> None:
        self._scope = scope
        fallback.channel.reader.on_reading_stopped = self._end_if_ready
        self._end_if_ready()

    def _end_if_ready(self) -> None:
        is_ready = self.kept is not None and self.kept.is_ready
        if is_ready and self._scope is not None:
            self._scope.reschedule(asyncio.get_running_loop().time())

    def _forget(self) -> None:
        """Let the next attempt go on, whatever the kept one does."""
        if self.kept is not None:
            self.kept.channel.reader.on_reading_stopped = None
        self.kept = None
        if self._scope is not None and not self._scope.expired():
            self._scope.reschedule(None)
        self._scope = None
