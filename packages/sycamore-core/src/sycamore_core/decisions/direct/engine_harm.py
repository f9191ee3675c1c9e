"""Interference of a part of a prompt with the requests at an engine."""

import msgspec

from ...ids import EndpointId
from ...routing import EngineCosts, EngineLoad
from .pass_forecast import forecast_passes

#: Streams that are packed onto one engine before another engine is used. A
#: pass takes a tenth longer with five streams than with one; with eight, all
#: slots of the engine are occupied.
PACKED_STREAMS = 5
#: Slots of an engine that packing leaves free. Entries that place at the same
#: moment have no reports of one another's requests, and a full engine rejects
#: requests.
_SPARE_SLOTS = 2
#: Reading time of a part, in milliseconds, above which the short requests that
#: arrive meanwhile are late.
LONG_PART_MS = 150.0
#: Cost of each stream below or above `PACKED_STREAMS`, in missed objectives.
#: It is below a hundredth of a missed objective, so that it decides only
#: between engines that are otherwise equivalent.
_PACKING_COST = 0.006
#: Fraction of the time to the first event that can be used up without cost.
#: The rest covers the entry, the network and errors of the forecast.
SAFE_FIRST_EVENT_FRACTION = 0.85
#: The same for a prompt that is already waiting. The parts that arrive next
#: also go ahead of the waiting prompt.
_SAFE_WAITING_FRACTION = 0.5
#: The same for the pauses of a stream. The next pass also reads the prompts
#: that arrive meanwhile.
_SAFE_PAUSE_FRACTION = 0.8
#: Additional cost of an objective that is missed by far, relative to one that
#: is just missed.
_EXCESS_LATENESS_SLOPE = 0.2
#: Backlog that costs as much as one missed objective, in milliseconds. The
#: next request at a busy engine waits or makes others wait. A much higher cost
#: would only rank engines that are otherwise equivalent, and work would
#: accumulate on a few of them.
_BACKLOG_MS_PER_MISS = 3000.0
#: Largest cost that separates equivalent engines, in missed objectives. It
#: makes two entries choose different engines at the same moment.
_TIE_BREAK_COST = 0.004
#: The same for a short request that one engine serves alone. It exceeds the
#: packing cost, so that each entry packs its engines in its own order. With
#: `_TIE_BREAK_COST`, entries that have not received one another's reports yet
#: pack the same engines, which reject one in ten short requests and start one
#: in five late.
_SHORT_TIE_BREAK_COST = 0.06
#: Fraction of the memory that plans leave free, as answers vary in length.
_MEMORY_RESERVE_FRACTION = 0.05
#: Mean duration of the first pause of a new stream, as a fraction of the
#: engine's pending work. The stream can begin at any moment of that work.
_MEAN_PAUSE_FRACTION = 0.5


class Candidate(msgspec.Struct, frozen=True):
    """An engine that can be chosen for a request.

    Attributes
    ----------
    penalty
        Added to the engine's cost if the engine failed recently or is in
        another cell, in missed objectives.
    tie_break
        Number between 0 and 1, constant for each pair of an entry and an
        engine. Two entries thus choose differently among equivalent engines.
    slowdown
        Factor by which the engine is slower than its cost figures.
    """

    endpoint: EndpointId
    load: EngineLoad
    penalty: float = 0
    tie_break: float = 0
    slowdown: float = 1


def lateness_cost(fraction: float, safe_fraction: float) -> float:
    """Return the expected loss when a fraction of an objective is used up.

    Parameters
    ----------
    fraction
        Fraction of the time that the objective allows.
    safe_fraction
        Fraction that can be used up without loss.

    Examples
    --------
    >>> lateness_cost(0.4, 0.5), lateness_cost(0.75, 0.5)
    (0, 0.25)
    """
    if fraction <= safe_fraction:
        return 0
    if fraction >= 1:
        return 1 + min(1, fraction - 1) * _EXCESS_LATENESS_SLOPE
    over = (fraction - safe_fraction) / (1 - safe_fraction)
    return over * over


class EngineInterference:
    """Cost of reading a prompt at one engine, in missed objectives.

    Parameters
    ----------
    prompt_tokens
        Length of the prompt. It is added to the context of the engine's steps
        if the engine generates the answer.

    Attributes
    ----------
    pass_ms
        Duration of a pass if the engine also generates for the request, in
        milliseconds.
    free_tokens
        Memory that a plan can use, in whole tokens. With fractions, the last
        fraction of a token would fit on no engine, and no plan would exist
        for a prompt that exceeds the memory of one engine.
    free_slots
        Slots that short requests can use.
    short_tie_break
        Cost that separates the engine from equivalent ones for a short
        request.
    """

    def __init__(
        self,
        candidate: Candidate,
        costs: EngineCosts,
        prompt_tokens: int,
    ) -> None:
        load = candidate.load
        self.slowdown = candidate.slowdown
        if self.slowdown > 1:
            costs = costs.slowed_by(self.slowdown)
            load = load.slowed_by(self.slowdown)
        self.endpoint = candidate.endpoint
        self.load = load
        self.pass_ms = costs.pass_ms(
            load.writers + 1,
            load.context_tokens + prompt_tokens,
        )
        self.forecast = forecast_passes(load, costs)
        usable_tokens = int(
            costs.memory_tokens * (1 - _MEMORY_RESERVE_FRACTION)
        )
        self.free_tokens = usable_tokens - load.memory_tokens
        self.has_slot = load.requests < costs.slots
        self.free_slots = max(0, costs.slots - load.requests)
        self.short_tie_break = candidate.tie_break * _SHORT_TIE_BREAK_COST
        self._packed_streams = max(
            1,
            min(PACKED_STREAMS, costs.slots - _SPARE_SLOTS),
        )
        self._base_cost = (
            candidate.penalty + candidate.tie_break * _TIE_BREAK_COST
        )
        self._base_cost += self.forecast.busy_ms / _BACKLOG_MS_PER_MISS

    @property
    def serves_short_requests(self) -> bool:
        """Whether short requests start on the engine without a long wait."""
        return self.forecast.busy_ms <= LONG_PART_MS

    def done_ms(self, part_ms: float, *, is_ahead: bool) -> float:
        """Return the time until a part is read here, in milliseconds.

        Parameters
        ----------
        part_ms
            Time that reading the part takes, in milliseconds.
        is_ahead
            Whether the part belongs to a split prompt.
        """
        forecast = self.forecast
        own_ms = part_ms * self.slowdown
        if is_ahead and not forecast.is_generating:
            return forecast.next_intake_ms + own_ms
        return forecast.queue_done_ms + own_ms

    def cost_ahead(self, part_ms: float) -> float:
        """Return the cost of a part that is read before the queued prompts."""
        return self.pause_cost(part_ms) + sum(
            self.delay_costs(part_ms).values()
        )

    def cost_behind(self, read_ms: float) -> float:
        """Return the cost of a prompt that is read after the queued prompts.

        If the engine has no streams, the pauses of the queued requests are
        included. Without this, a short request that was just sent would add
        no cost until its first event arrives. A prompt that is placed behind
        the short request is read in the first pass of the short answer, which
        then pauses for the whole reading time.
        """
        forecast = self.forecast
        if forecast.is_generating:
            return self.cost_ahead(read_ms)
        own_ms = read_ms * self.slowdown
        answered = [
            (prompt, forecast.queued_ms - done_ms)
            for prompt, done_ms in zip(
                forecast.waiting, forecast.done_ms, strict=True
            )
            if prompt.pause_ms
        ]
        return self.pause_cost(read_ms) + sum(
            prompt.weight
            * _added_lateness_cost(
                prompt.pause_ms,
                behind_ms,
                behind_ms + own_ms,
                _SAFE_PAUSE_FRACTION,
            )
            for prompt, behind_ms in answered
        )

    def delay_costs(self, part_ms: float) -> dict[str, float]:
        """Return the cost of delaying each queued prompt, by the prompt key."""
        forecast = self.forecast
        own_ms = part_ms * self.slowdown
        return {
            prompt.key: prompt.weight
            * _added_lateness_cost(
                max(1, prompt.slack_ms),
                done_ms,
                done_ms + own_ms,
                _SAFE_WAITING_FRACTION,
            )
            for prompt, done_ms in zip(
                forecast.waiting, forecast.done_ms, strict=True
            )
        }

    def pause_cost(self, part_ms: float) -> float:
        """Return the cost of the pauses of streams while a part is read.

        The base cost of the engine is included.
        """
        forecast = self.forecast
        before = forecast.pass_ms + forecast.queued_ms
        after = before + part_ms * self.slowdown
        return self._base_cost + sum(
            stream.weight
            * _added_lateness_cost(
                stream.pause_ms, before, after, _SAFE_PAUSE_FRACTION
            )
            for stream in (*self.load.pause_objectives, *forecast.starting)
        )

    def primary_cost(self, pause_ms: float) -> float:
        """Return the cost for the request if the engine generates its answer.

        Parameters
        ----------
        pause_ms
            Longest pause that the request's objective allows, in
            milliseconds; 0 if it has no such objective.
        """
        deviation = self._packed_streams - self.load.requests
        cost = abs(deviation) * _PACKING_COST
        if pause_ms:
            pause = (
                self.pass_ms + self.forecast.busy_ms
            ) * _MEAN_PAUSE_FRACTION
            cost += lateness_cost(pause / pause_ms, _SAFE_PAUSE_FRACTION)
        return cost


def _added_lateness_cost(
    objective_ms: float,
    before_ms: float,
    after_ms: float,
    safe_fraction: float,
) -> float:
    """Return the added loss if a duration grows beyond its present value."""
    before = lateness_cost(before_ms / objective_ms, safe_fraction)
    return lateness_cost(after_ms / objective_ms, safe_fraction) - before
