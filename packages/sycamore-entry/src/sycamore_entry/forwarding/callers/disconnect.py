"""Exchanges end whose callers have left."""

import asyncio

from sycamore_core.decisions.ended_callers import CHECK_SECONDS, SilenceChecks

from .caller_answer import CallerAnswer

#: Turns of the event loop in which a short answer gets from the socket of its
#: endpoint to the caller.
_READ_TURNS = 8


class DisconnectHandler:
    """Cancels an exchange whose caller has left."""

    def __init__(
        self,
        task: asyncio.Task[None],
        answer: CallerAnswer,
    ) -> None:
        self.task = task
        self.answer = answer
        self.checks = SilenceChecks()

    def on_close(self) -> None:
        """Cancel the exchange, unless its answer is over."""
        if not self.answer.is_over:
            self.answer.caller_has_left = True
            self.task.cancel()

    def on_sending_end(self) -> None:
        """Check a caller that has ended its sending side, until it is over.

        An exchange that has not begun could not answer if it were cancelled.
        """
        asyncio.get_running_loop().call_soon(self._check, _READ_TURNS)

    def _check(self, turns: int) -> None:
        """End the exchange if its caller has probably left.

        Parameters
        ----------
        turns
            Turns of the event loop until then. If it was late, the answer may
            lie in the socket of the endpoint.
        """
        if self.task.done() or self.answer.is_over:
            return
        stream = self.answer.connection.stream
        stream.close_if_reset()
        if stream.closed():
            return
        loop = asyncio.get_running_loop()
        if self.answer.goes_on(self.checks):
            loop.call_later(CHECK_SECONDS, self._check, _READ_TURNS)
        elif turns:
            loop.call_soon(self._check, turns - 1)
        else:
            self.answer.is_given_up = True
            self.task.cancel()
