"""A caller that comes back: after a refusal, and for the rest of an answer."""

import asyncio
import time

import msgspec

from .answers import Answer, Fault, PlainAnswer, Problem
from .asks import Ask, PlainAsk
from .caller import Caller
from .keys import new_key

#: Wait where a refusal names none, in seconds.
_PAUSE_SECONDS = 0.2
#: Longest wait before coming back, whatever the refusal says.
_LONGEST_PAUSE_SECONDS = 2.0


class Story(msgspec.Struct, kw_only=True):
    """What became of one request in the end.

    Attributes
    ----------
    refusals
        Reasons of the refusals before the last answer.
    resumes
        How often the caller came back for the rest of an answer.
    ids
        Request ids under which the request was sent, in order.
    """

    answer: Answer = msgspec.field(default_factory=Answer)
    plain: PlainAnswer = msgspec.field(default_factory=PlainAnswer)
    refusals: list[str] = []
    resumes: int = 0
    ids: list[str] = []
    first_token_seconds: float = 0
    total_seconds: float = 0


class PatientCaller:
    """Asks again where the system says that nothing ran.

    Parameters
    ----------
    patience_seconds
        Time for which the caller comes back.
    """

    def __init__(self, caller: Caller, patience_seconds: float) -> None:
        self.caller = caller
        self.patience_seconds = patience_seconds

    async def ask(self, ask: Ask) -> Story:
        """Send a model request until it is answered or patience ends."""
        story = Story()
        started = time.monotonic()
        while True:
            sent = time.monotonic()
            story.answer = await self._ask_and_resume(ask, story)
            story.ids.append(story.answer.request_id)
            if not self._comes_back(story, story.answer.problem, started):
                break
            await _pause(story.answer.problem)
        waited = sent - started
        if story.answer.pieces:
            first = story.answer.first_token_seconds
            story.first_token_seconds = first + waited
        story.total_seconds = time.monotonic() - started
        return story

    async def call(self, ask: PlainAsk, *, reserved: bool = False) -> Story:
        """Call a plain service until it answers or patience ends."""
        story = Story()
        started = time.monotonic()
        while True:
            story.plain = await self._call_once(ask, reserved=reserved)
            story.ids.append(story.plain.request_id)
            if not self._comes_back(story, story.plain.problem, started):
                break
            ask = _with_fresh_key(ask)
            await _pause(story.plain.problem)
        story.total_seconds = time.monotonic() - started
        return story

    async def _ask_and_resume(self, ask: Ask, story: Story) -> Answer:
        answer = await self.caller.ask(ask)
        entry = ask.entry
        while answer.faults == [Fault.CUT] and answer.request_id:
            entry = (entry + 1) % len(self.caller.identity.entries)
            story.resumes += 1
            first = answer.first_token_seconds
            answer = await self.caller.resume(answer, entry)
            answer.first_token_seconds = first or answer.first_token_seconds
        return answer

    async def _call_once(self, ask: PlainAsk, *, reserved: bool) -> PlainAnswer:
        if not reserved:
            return await self.caller.call(ask)
        bound = await self.caller.reserve(ask.service, ask.entry)
        if bound.problem is not None:
            return bound
        return await self.caller.call(ask, bound.request_id)

    def _comes_back(
        self,
        story: Story,
        problem: Problem | None,
        started: float,
    ) -> bool:
        if problem is None or problem.not_run is not True:
            return False
        if time.monotonic() - started > self.patience_seconds:
            return False
        story.refusals.append(problem.reason)
        return True


async def _pause(problem: Problem | None) -> None:
    named = 0 if problem is None else problem.retry_after
    await asyncio.sleep(min(named or _PAUSE_SECONDS, _LONGEST_PAUSE_SECONDS))


def _with_fresh_key(ask: PlainAsk) -> PlainAsk:
    if not ask.idempotency_key:
        return ask
    return msgspec.structs.replace(ask, idempotency_key=new_key())
