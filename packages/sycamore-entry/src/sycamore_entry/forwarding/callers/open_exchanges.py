"""Exchanges in progress, and their ends if the process stops."""

import asyncio
from inspect import CORO_CREATED, getcoroutinestate

from sycamore_core.telemetry import Log, error_fields

from .caller_answer import CallerAnswer


class OpenExchanges:
    """Exchanges in progress.

    Attributes
    ----------
    answers
        The answer of each exchange.
    """

    def __init__(self) -> None:
        self.answers: dict[asyncio.Task[None], CallerAnswer] = {}
        self.log = Log('callers')
        self._ended: set[asyncio.Task[None]] = set()

    @property
    def unanswered(self) -> list[asyncio.Task[None]]:
        """Return the exchanges without an answer, the oldest first."""
        return [
            task
            for task, answer in self.answers.items()
            if not answer.has_begun and task not in self._ended
        ]

    @property
    def begun(self) -> list[asyncio.Task[None]]:
        """Return the exchanges whose answers have begun and not ended."""
        return [
            task
            for task, answer in self.answers.items()
            if answer.has_begun
            and not answer.is_sent_early
            and task not in self._ended
        ]

    @property
    def answered_early(self) -> list[asyncio.Task[None]]:
        """Return the exchanges that were answered and not told to end."""
        return [
            task
            for task, answer in self.answers.items()
            if answer.is_sent_early and task not in self._ended
        ]

    def add(self, task: asyncio.Task[None], answer: CallerAnswer) -> None:
        """Add an exchange until it is done."""
        self.answers[task] = answer
        task.add_done_callback(self._remove)

    def answer_early(self, most: int) -> int:
        """Answer requests without an answer, because the process stops.

        Their exchanges end later: that takes longer than the answers, which
        each caller should have before the process is killed.

        Requests that may not run again come first, as their callers can do
        nothing without an answer; then the oldest.

        One that has not begun could not answer, and is left. After the forced
        end it refuses its request as it begins.

        Return the number of answers.
        """
        exchanges = [task for task in self.unanswered if _has_begun(task)]
        exchanges.sort(key=self._may_repeat)
        for task in exchanges[:most]:
            self._answer_early(task)
        return len(exchanges[:most])

    def refuse_unsent(self) -> int:
        """Refuse requests that no endpoint can have run; see `answer_early`.

        Return their number.
        """
        exchanges = [task for task in self.unanswered if self._is_unsent(task)]
        for task in exchanges:
            self._answer_early(task)
        return len(exchanges)

    def end_answered(self, most: int) -> set[asyncio.Task[None]]:
        """End exchanges that were answered early; return them."""
        return self._end(self.answered_early[:most])

    def cut_answers(self, most: int) -> set[asyncio.Task[None]]:
        """Cut answers that have begun, because the process ends.

        Return their exchanges.
        """
        return self._end(self.begun[:most])

    def cancel(self) -> None:
        """End the exchanges that are left, unless they are answered.

        Those end with the process, which may have no time for them.
        """
        for task, answer in tuple(self.answers.items()):
            if not answer.is_complete:
                task.cancel()

    def drop_unread(self) -> None:
        """Drop what callers have sent behind requests that were answered.

        Unread bytes would reset connections that end with the process, and
        some callers would lose their answers.
        """
        for task in self.answered_early:
            stream = self.answers[task].connection.stream
            stream.drop_unread()

    def _remove(self, task: asyncio.Task[None]) -> None:
        self.answers.pop(task)
        self._ended.discard(task)

    def _answer_early(self, task: asyncio.Task[None]) -> None:
        """Answer a request; a defect must not keep others from theirs."""
        early = self.answers[task].request.early
        if early is None:
            return
        try:
            early.send_early()
        except Exception as error:
            self.log.error('exchange_fault', **error_fields(error))
            self._end([task])

    def _is_unsent(self, task: asyncio.Task[None]) -> bool:
        early = self.answers[task].request.early
        return early is not None and not early.may_have_run

    def _may_repeat(self, task: asyncio.Task[None]) -> bool:
        return self.answers[task].request.may_repeat

    def _end(self, tasks: list[asyncio.Task[None]]) -> set[asyncio.Task[None]]:
        for task in tasks:
            self._ended.add(task)
            task.cancel()
        return set(tasks)


def _has_begun(task: asyncio.Task[None]) -> bool:
    return getcoroutinestate(task.get_coro()) != CORO_CREATED
