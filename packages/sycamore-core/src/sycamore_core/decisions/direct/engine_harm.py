"""What reading a part of a prompt does to those who are at an engine."""

import msgspec

from ...ids import EndpointId
from ...routing import EngineCosts, EngineLoad, Unread

#: Streams that are gathered on one engine before the next is taken into use.
#: With five, a pass takes a tenth longer than with one; from eight on an
#: engine's slots are full.
GATHERED_WRITERS = 5
#: A part that takes longer makes the turns that come meanwhile late, in ms.
LONG_PART_MS = 150.0
#: Cost of each stream that an engine lacks to, or has beyond,
#: `GATHERED_WRITERS`: little against a hundredth of a broken promise, so that
#: it decides between engines that are otherwise alike.
_GATHERING_COST = 0.006
#: Part of a promised time that may be used up without harm; estimates are
#: off by a pass or two.
_SAFE_PART = 0.5
#: Extra of the ones that are late by much against those that just miss.
_LATE_SLOPE = 0.2
#: Backlog that counts as one broken promise, in ms: it only orders engines
#: that are otherwise alike.
_BUSY_MS = 20_000.0
#: Part of an engine's slots that turns can use without being late for their
#: number alone.
_USABLE_SLOTS = 0.8
#: Part of the memory that plans leave free, as answers vary in length.
_MEMORY_RESERVE = 0.05
#: Mean part of a pass that is still to run when a request comes.
_HALF = 0.5


class Candidate(msgspec.Struct, frozen=True):
    """An engine that may take part.

    Attributes
    ----------
    penalty
        Added to its cost: for an engine that failed lately, or to have two
        entries choose differently among engines that are alike.
    """

    endpoint: EndpointId
    load: EngineLoad
    penalty: float = 0


def lateness(part: float) -> float:
    """Return the expected loss when `part` of a promised time is used up.

    Examples
    --------
    >>> lateness(0.4), lateness(0.75)
    (0, 0.25)
    """
    if part <= _SAFE_PART:
        return 0
    if part >= 1:
        return 1 + min(1, part - 1) * _LATE_SLOPE
    over = (part - _SAFE_PART) / (1 - _SAFE_PART)
    return over * over


class EngineHarm:
    """Harm that a prompt does at one engine, in broken promises.

    Parameters
    ----------
    prompt_tokens
        Length of the prompt, which the engine's steps carry if it writes.

    Attributes
    ----------
    pass_ms
        Time of a pass in which the engine writes for the request as well.
    free_tokens
        Whole tokens of memory that a plan may use: with a fraction of one
        left that fits nowhere, no plan would store a prompt beyond one
        engine.
    free_slots
        Slots that turns can use without being late.
    """

    def __init__(
        self,
        candidate: Candidate,
        costs: EngineCosts,
        prompt_tokens: int,
    ) -> None:
        load = candidate.load
        self.endpoint = candidate.endpoint
        self.load = load
        self.pass_ms = costs.pass_ms(
            load.writers + 1,
            load.context_tokens + prompt_tokens,
        )
        room = int(costs.memory_tokens * (1 - _MEMORY_RESERVE))
        self.free_tokens = room - load.memory_tokens
        self.has_slot = load.requests < costs.slots
        self.free_slots = max(0, costs.slots * _USABLE_SLOTS - load.requests)
        self._base = candidate.penalty + load.backlog_ms / _BUSY_MS

    @property
    def serves_turns(self) -> bool:
        """Whether turns that come to it need not wait for long."""
        return self.load.backlog_ms <= LONG_PART_MS

    @property
    def rest_of_pass_ms(self) -> float:
        """Return the time until its next pass begins."""
        return self.pass_ms * _HALF if self.load.requests else 0

    def of_part(self, part_ms: float) -> float:
        """Return the harm of a part that goes ahead of what it has."""
        delayed = sum(
            harm_of_delay(unread, part_ms) for unread in self.load.unread
        )
        return self.of_pauses(part_ms) + delayed

    def of_pauses(self, part_ms: float) -> float:
        """Return the harm to streams that pause while a part is read."""
        load = self.load
        if not load.writers:
            return self._base
        pause = self.pass_ms + load.backlog_ms + part_ms
        return self._base + load.writers * lateness(pause / load.pause_ms)

    def as_home(self, pause_ms: float) -> float:
        """Return the harm to the request itself if the engine writes it.

        Parameters
        ----------
        pause_ms
            Longest pause that its caller was promised; 0 for none.
        """
        cost = abs(GATHERED_WRITERS - self.load.requests) * _GATHERING_COST
        if pause_ms:
            pause = (self.pass_ms + self.load.backlog_ms) * _HALF
            cost += lateness(pause / pause_ms)
        return cost


def harm_of_delay(unread: Unread, part_ms: float) -> float:
    """Return the harm to a prompt that is read later by a part."""
    slack = max(1, unread.slack_ms)
    before = lateness(unread.done_ms / slack)
    after = lateness((unread.done_ms + part_ms) / slack)
    return unread.weight * (after - before)
