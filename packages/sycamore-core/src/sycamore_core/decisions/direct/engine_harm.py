"""What reading a part of a prompt does to those who are at an engine."""

import msgspec

from ...ids import EndpointId
from ...routing import EngineCosts, EngineLoad
from .pass_forecast import forecast

#: Streams that are gathered on one engine before the next is taken into use.
#: With five, a pass takes a tenth longer than with one; from eight on an
#: engine's slots are full.
GATHERED_WRITERS = 5
#: Slots of an engine on which no streams are gathered: entries that place at
#: the same moment do not see one another's requests, and a full engine rejects
#: what comes.
_SPARE_SLOTS = 2
#: A part that takes longer makes the turns that come meanwhile late, in ms.
LONG_PART_MS = 150.0
#: Cost of each stream that an engine lacks to, or has beyond,
#: `GATHERED_WRITERS`: little against a hundredth of a broken promise, so that
#: it decides between engines that are otherwise alike.
_GATHERING_COST = 0.006
#: Part of a promised first event that may be used up without harm. What is
#: left is for the entry, the network and errors of the forecast.
SAFE_FIRST_EVENT = 0.85
#: The same for a prompt that waits already: the next part will go ahead of it
#: as well, and the one after it.
_SAFE_WAITING = 0.5
#: The same for the pauses of a stream. The next pass reads what comes
#: meanwhile as well.
_SAFE_PAUSE = 0.8
#: Extra of the ones that are late by much against those that just miss.
_LATE_SLOPE = 0.2
#: Backlog that counts as one broken promise, in ms: whoever comes next to a
#: busy engine waits, or has others wait. Much more of it would only order
#: engines that are otherwise alike, and work would pile up on a few.
_BUSY_MS = 3000.0
#: Largest difference by which equal engines are told apart, in broken
#: promises, so that two entries choose different ones at the same moment.
_TIE_COST = 0.004
#: The same among engines for a short turn alone: more than gathering is worth,
#: so that each entry gathers on engines of its own order. With the difference
#: above, entries that have not heard of one another yet gather on the same
#: engines, which reject one in ten turns and start one in five late.
_TURN_TIE_COST = 0.06
#: Part of the memory that plans leave free, as answers vary in length.
_MEMORY_RESERVE = 0.05
#: Part of what an engine has to do for which the first pause of a new stream
#: lasts, in the mean: it begins at any moment of it.
_MEAN_PAUSE_PART = 0.5


class Candidate(msgspec.Struct, frozen=True):
    """An engine that may take part.

    Attributes
    ----------
    penalty
        Added to its cost, for an engine that failed lately or is far away.
    tie
        Between 0 and 1, fixed for an entry and an engine: has two entries
        choose differently among engines that are alike.
    """

    endpoint: EndpointId
    load: EngineLoad
    penalty: float = 0
    tie: float = 0


def lateness(part: float, safe_part: float) -> float:
    """Return the expected loss when `part` of a promised time is used up.

    Parameters
    ----------
    safe_part
        Part that may be used up without harm.

    Examples
    --------
    >>> lateness(0.4, 0.5), lateness(0.75, 0.5)
    (0, 0.25)
    """
    if part <= safe_part:
        return 0
    if part >= 1:
        return 1 + min(1, part - 1) * _LATE_SLOPE
    over = (part - safe_part) / (1 - safe_part)
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
        Slots that turns can use.
    turn_tie
        What tells it apart from engines that are alike, for a short turn.
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
        self.forecast = forecast(load, costs)
        room = int(costs.memory_tokens * (1 - _MEMORY_RESERVE))
        self.free_tokens = room - load.memory_tokens
        self.has_slot = load.requests < costs.slots
        self.free_slots = max(0, costs.slots - load.requests)
        self.turn_tie = candidate.tie * _TURN_TIE_COST
        self._gathered = max(
            1,
            min(GATHERED_WRITERS, costs.slots - _SPARE_SLOTS),
        )
        self._base = candidate.penalty + candidate.tie * _TIE_COST
        self._base += self.forecast.busy_ms / _BUSY_MS

    @property
    def serves_turns(self) -> bool:
        """Whether turns that come to it need not wait for long."""
        return self.forecast.busy_ms <= LONG_PART_MS

    def done_ms(self, part_ms: float, *, is_ahead: bool) -> float:
        """Return when a part would be read here, in milliseconds from now.

        Parameters
        ----------
        is_ahead
            Whether the part is one of a split prompt.
        """
        known = self.forecast
        if is_ahead and not known.writes:
            return known.opens_ms + part_ms
        return known.next_done_ms + part_ms

    def of_part(self, part_ms: float) -> float:
        """Return the harm of a part that goes ahead of what it has."""
        return self.of_pauses(part_ms) + sum(self.delays(part_ms).values())

    def of_last(self, read_ms: float) -> float:
        """Return the harm of a prompt that is read after what it has.

        What goes wrong otherwise: a turn has just been sent to an engine that
        writes nothing. It counts for nothing until its first event is heard
        of; a prompt that is put behind it is read in the first pass of its
        answer, which pauses for as long.
        """
        known = self.forecast
        if known.writes:
            return self.of_part(read_ms)
        answered = [
            (one, known.queued_ms - done_ms)
            for one, done_ms in zip(known.waiting, known.done_ms, strict=True)
            if one.pause_ms
        ]
        return self.of_pauses(read_ms) + sum(
            one.weight
            * _added_lateness(
                one.pause_ms, behind_ms, behind_ms + read_ms, _SAFE_PAUSE
            )
            for one, behind_ms in answered
        )

    def delays(self, part_ms: float) -> dict[str, float]:
        """Return the harm to each prompt that is read later."""
        known = self.forecast
        return {
            one.key: one.weight
            * _added_lateness(
                max(1, one.slack_ms),
                done_ms,
                done_ms + part_ms,
                _SAFE_WAITING,
            )
            for one, done_ms in zip(known.waiting, known.done_ms, strict=True)
        }

    def of_pauses(self, part_ms: float) -> float:
        """Return the harm to streams that pause while a part is read."""
        known = self.forecast
        before = known.pass_ms + known.queued_ms
        after = before + part_ms
        return self._base + sum(
            one.weight
            * _added_lateness(one.pause_ms, before, after, _SAFE_PAUSE)
            for one in (*self.load.promises, *known.starting)
        )

    def as_home(self, pause_ms: float) -> float:
        """Return the harm to the request itself if the engine writes it.

        Parameters
        ----------
        pause_ms
            Longest pause that its caller was promised; 0 for none.
        """
        missing = self._gathered - self.load.requests
        cost = abs(missing) * _GATHERING_COST
        if pause_ms:
            pause = (self.pass_ms + self.forecast.busy_ms) * _MEAN_PAUSE_PART
            cost += lateness(pause / pause_ms, _SAFE_PAUSE)
        return cost


def _added_lateness(
    promised_ms: float,
    before_ms: float,
    after_ms: float,
    safe_part: float,
) -> float:
    """Return the loss when something takes longer against its promise."""
    before = lateness(before_ms / promised_ms, safe_part)
    return lateness(after_ms / promised_ms, safe_part) - before
