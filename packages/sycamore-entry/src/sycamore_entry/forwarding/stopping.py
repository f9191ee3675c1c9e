"""The graceful shutdown of an entry process."""

import asyncio
import gc

from sycamore_core.decisions.stop_schedule import OpenWork, StopSchedule
from tornado.httpserver import HTTPServer

from .callers.caller import CallerConnections
from .callers.statuses import UNAVAILABLE
from .context import ForwardingContext
from .endpoints.time_limit import let_loop_read
from .stop_record import StopRecord

#: How long a stopping entry accepts new connections, in seconds. The balancer
#: checks readiness once a second and acts on the second failed check.
_BALANCER_DELAY_SECONDS = 2.8
#: Longest time for which the ends of a few exchanges are awaited, in seconds. A
#: caller that does not read must not delay the others.
_PORTION_SECONDS = 0.1
#: Longest time in which callers close their connections after the last answer,
#: in seconds.
_LAST_CLOSES_SECONDS = 0.15
_POLL_SECONDS = 0.05
_LAST_POLL_SECONDS = 0.01


class GracefulStop:
    """Ends the requests and connections of an entry before the process ends.

    Attributes
    ----------
    began
        When the stop signal arrived, on the monotonic clock, in seconds. It
        may be handled later, and the process is killed by this time.
    schedule
        Decides when open requests are answered.
    record
        What the stop measures.
    """

    def __init__(
        self,
        context: ForwardingContext,
        connections: CallerConnections,
    ) -> None:
        self.context = context
        self.connections = connections
        self.exchanges = connections.exchanges
        context.ask_stop()
        self.began = context.stop_asked_at or 0
        self.accepts_until = self.began + _BALANCER_DELAY_SECONDS
        self.schedule = StopSchedule(
            self.began, context.settings.stop_seconds, self.accepts_until
        )
        self.record = StopRecord(context.clock, self.began)
        self._is_forced = False

    async def run(self, callers: HTTPServer) -> None:
        """Serve until all connections have ended or the time is over."""
        self.context.forced_stop_at = self.schedule.forced_at
        self.record.log_begin(self.connections)
        until = min(self.accepts_until, self.schedule.forced_at)
        await self.record.pause(max(0, until - self._now()))
        callers.stop()
        await self._wait_for_requests()
        await self._end_requests()

    def log_end(self) -> None:
        """Log that the process ends."""
        self.record.log_end(self.context.entry, self.connections)

    async def _wait_for_requests(self) -> None:
        """Wait until all connections have ended, or until the forced end.

        Each connection counts: one that is between two requests, or whose
        request is being read, is neither idle nor has it an exchange.

        Requests that are still open are answered as the schedule says.
        """
        # A connection that has just been accepted is not known yet.
        await self.record.pause(_POLL_SECONDS)
        self.connections.close_idle()
        while self._is_open() and self._now() < self.schedule.cuts_at:
            if not await self._end_due():
                await self.record.pause(_POLL_SECONDS)
            self.connections.close_idle()

    async def _end_due(self) -> bool:
        """End the requests that are due; return whether there were any."""
        now = self._now()
        work = self._work()
        answers = self.schedule.due_answers(now, work)
        cuts = 0 if answers else self.schedule.due_cuts(now, work)
        if not (answers or cuts):
            return await self._end_answered(self.schedule.due_ends(work))
        if self._force(now) and now < self.schedule.forced_at:
            # Answers that have arrived are taken first.
            await let_loop_read()
        elif answers:
            self._answer(answers)
            # Exchanges that have not begun do so at the next turn of the loop.
            await self.record.pause(0)
        else:
            await self._cut(cuts)
        return True

    def _force(self, now: float) -> bool:
        """Take no request any more, and refuse those that were not sent.

        Return whether the forced end begins.
        """
        if self._is_forced:
            return False
        self._is_forced = True
        # A full collection would go through all that is open, which takes
        # longer than the answers.
        gc.freeze()
        self.context.forced_stop_at = now
        self.record.log_forced(self.connections)
        refused = self.exchanges.refuse_unsent()
        self.record.count_answers(refused, self._now() - now)
        return True

    def _answer(self, most: int) -> None:
        """Answer some requests whose exchanges end later."""
        began = self._now()
        answers = self.exchanges.answer_early(most)
        self.record.count_answers(answers, self._now() - began)

    async def _end_answered(self, most: int) -> bool:
        """End some exchanges that were answered; return if there were any."""
        ended = self.exchanges.end_answered(most)
        if ended:
            await asyncio.wait(ended, timeout=_PORTION_SECONDS)
        return bool(ended)

    async def _cut(self, most: int) -> None:
        ended = self.exchanges.cut_answers(most)
        await asyncio.wait(ended, timeout=_PORTION_SECONDS)
        self.record.cut += len(ended)

    async def _end_requests(self) -> None:
        """Answer all open requests, and wait until the answers are written.

        Nothing is read afterwards, so that no request is read and dropped.
        """
        if self._is_open():
            self._force(self._now())
        self._end_unread()
        while self._has_time() and await self._end_due():
            self._end_unread()
        # The loop may be so late that the time is over by now.
        self._answer(len(self.exchanges.unanswered))
        if self.context.slot_waits.refuse_waiting():
            await self.record.pause(_LAST_POLL_SECONDS)
        await self._wait_for_closes()
        await self._close_all()

    async def _wait_for_closes(self) -> None:
        """Let callers read their answers, and close their connections.

        Tasks that outlive their exchanges end meanwhile.
        """
        closing_until = self._now() + _LAST_CLOSES_SECONDS
        self._end_unread()
        while self._has_time() and self._is_closing(closing_until):
            await self.record.pause(_LAST_POLL_SECONDS)
            self._end_unread()

    def _is_closing(self, closing_until: float) -> bool:
        is_open = self._is_open() and self._now() < closing_until
        return is_open or bool(self.context.background)

    async def _close_all(self) -> None:
        """End what is left, and close all connections, while there is time.

        What is left then ends with the process.
        """
        if not self._has_time():
            self.exchanges.drop_unread()
            return
        self.exchanges.cancel()
        # Exchanges close the connections of endpoints as they end.
        await asyncio.sleep(0)
        self.connections.close_all()

    def _end_unread(self) -> None:
        """End the connections that have no request which was read whole."""
        self.connections.close_idle()
        self.connections.refuse_incomplete(UNAVAILABLE, self._now())

    def _work(self) -> OpenWork:
        return OpenWork(
            unanswered=len(self.exchanges.unanswered),
            begun=len(self.exchanges.begun),
            late_seconds=self.record.late_seconds,
        )

    def _has_time(self) -> bool:
        return self._now() < self.schedule.last_at(self._work())

    def _is_open(self) -> bool:
        return bool(self.connections.open or self.connections.tasks)

    def _now(self) -> float:
        return self.context.clock.monotonic()
