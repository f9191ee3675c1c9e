"""Ends an attempt as soon as the lifetime of one of its endpoints ends."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.decisions.lifetimes import EndEvidence, LifetimeEnd

from ..context import ForwardingContext
from ..errors import AttemptError, EndpointEndedError
from ..fleet.ended import EndListener
from ..placement.dispatcher import Placement
from .channel import EndpointChannel
from .silence import SilenceWatch

_MS = 1000.0


class EndScope(EndListener):
    """The part of an attempt that ends with its endpoints.

    Parameters
    ----------
    watch
        Knows until when the silence of the endpoint is expected; None if it
        is never expected.

    Attributes
    ----------
    channel
        Connection on which the request was sent; None before.
    is_forwarding
        Whether the caller receives an answer that no other attempt can replace.
    cause
        End of a lifetime that ends the attempt; None if there is none.
    """

    def __init__(self, watch: SilenceWatch | None = None) -> None:
        self.watch = watch
        self.channel: EndpointChannel | None = None
        self.is_forwarding = False
        self.cause: LifetimeEnd | None = None
        self._timeout = asyncio.timeout(None)

    @property
    def attempt_end(self) -> AttemptEnd:
        """Return how the attempt ends, if it ends now."""
        return AttemptEnd.NOT_SENT if self.channel is None else AttemptEnd.ENDED

    @property
    def is_unanswered(self) -> bool:
        """Whether the request was sent and its answer has not ended."""
        return self.channel is not None and not self.channel.is_complete

    def end_with(self, end: LifetimeEnd) -> None:
        """End the attempt, unless its answer has been received completely.

        An endpoint that is silent for this entry or for a peer may be reading
        a long prompt, or be about to leave once its requests have ended. Probes
        of the connection show whether it is gone. Such evidence ends an attempt
        only if the request may go on elsewhere.
        """
        is_complete = self.channel is not None and self.channel.is_complete
        is_answered = is_complete or self.is_forwarding
        if self.cause is not None or is_answered or self._goes_on(end):
            return
        is_unsure = end.evidence in {EndEvidence.REMOVED, EndEvidence.PEER}
        if is_unsure and not self._may_give_up(end):
            return
        self.cause = end
        self._interrupt(is_unsure=is_unsure)

    @contextlib.asynccontextmanager
    async def run(
        self,
        context: ForwardingContext,
        placement: Placement,
    ) -> AsyncIterator[None]:
        """Run the block until a lifetime of the placement ends.

        Raises
        ------
        EndpointEndedError
            If the end of a lifetime interrupted the block.
        """
        records = (placement.primary, *placement.helpers)
        lifetimes = {record.lifetime for record in records}
        try:
            async with self._timeout:
                with context.keeper.ended.listening(self, lifetimes):
                    self._check_not_ended()
                    yield
        except (AttemptError, TimeoutError) as error:
            if self.cause is None or not self._is_interruption(error):
                raise
            context.metrics.ended_attempts.add(self.cause.evidence)
            raise EndpointEndedError(self.attempt_end, self.cause) from error

    def _is_within_forecast(self) -> bool:
        """Return whether the first event is not yet due by the plan."""
        watch = self.watch
        if watch is None:
            return False
        waited = watch.context.clock.monotonic() - watch.last_event_at
        expected_ms = watch.placement.plan.expected_ms
        return not watch.has_event and waited * _MS < expected_ms

    def _goes_on(self, end: LifetimeEnd) -> bool:
        """Return whether unread bytes show that the answer goes on.

        The event loop of the entry may have been late. If the endpoint has
        ended all the same, this connection breaks by itself.
        """
        if end.evidence.is_certain or self.channel is None:
            return False
        return self.channel.has_unread_bytes

    def _may_give_up(self, end: LifetimeEnd) -> bool:
        """Return whether the attempt ends although its endpoint may go on.

        A request that was not sent needs no retry.
        """
        if self._is_within_forecast():
            return False
        if self.watch is None or self.channel is None:
            return True
        return self.watch.permit.acquire(end.evidence, needs_slot=True)

    def _interrupt(self, *, is_unsure: bool) -> None:
        """End the attempt where it waits for its endpoint.

        What was read is written first. Otherwise, the caller would receive
        half an event, followed by those of the next endpoint.

        Parameters
        ----------
        is_unsure
            Whether the answer may go on if no other attempt replaces it.
        """
        if self.channel is None:
            self._timeout.reschedule(asyncio.get_running_loop().time())
        elif is_unsure:
            self.channel.interrupt()
        else:
            self.channel.close()

    def _check_not_ended(self) -> None:
        """Raise if a lifetime had ended before the attempt began.

        The interruption alone would come only once the attempt waits, which
        may be after the request was sent.
        """
        if self.cause is not None:
            raise EndpointEndedError(self.attempt_end, self.cause)

    def _is_interruption(self, error: AttemptError | TimeoutError) -> bool:
        """Return whether an attempt failed because the lifetime ended.

        A request that the endpoint itself reports as not run may be retried
        freely.
        """
        if isinstance(error, AttemptError):
            return not error.end.has_not_run or self.channel is None
        return self._timeout.expired()
