"""When an engine takes in new work, and when it has read what it has.

An engine works in passes and takes in what was sent to it between two of
them. While it writes, a pass makes many steps and reads whatever was there
when it began; whoever comes later waits for its end, and all first tokens and
events of a pass come with its end. An engine that only reads begins a pass
with each chunk: parts of split prompts go ahead there at once, the latest
first.

What goes wrong if each part is taken as read at once: it takes up to three
times as long as expected, and all later decisions start from a wrong state.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

from ...routing import EngineCosts, EngineLoad, Unread

#: Mean part of a pass that is still to run when a request comes.
_HALF = 0.5
#: Part of the time by which reading is overdue that it is taken to need yet.
#: An engine that others load unseen takes longer than was estimated; without
#: this it would look idle from that moment on and draw more work.
_OVERDUE_PART = 0.5


class PassForecast(msgspec.Struct, kw_only=True):
    """What an engine will do with what it has.

    Attributes
    ----------
    pass_ms
        Time of a pass in which nothing is read; 0 if it does not write.
    opens_ms
        Time until it next takes in work.
    queued_ms
        Reading that it has not begun: of the next pass while it writes, of
        all prompts otherwise.
    done_ms
        Time until each prompt is read, in the order of `waiting`.
    waiting
        Prompts that new work delays.
    starting
        Prompts whose own part here has been read and whose answers begin with
        the next pass, or as soon as other engines have read theirs.
    """

    pass_ms: float = 0
    opens_ms: float = 0
    queued_ms: float = 0
    waiting: tuple[Unread, ...] = ()
    done_ms: tuple[float, ...] = ()
    starting: tuple[Unread, ...] = ()

    @property
    def writes(self) -> bool:
        """Whether it writes, so that it reads in long passes."""
        return self.pass_ms > 0

    @property
    def next_done_ms(self) -> float:
        """Return when a prompt that takes no time would be read behind all."""
        return self.opens_ms + self.pass_ms + self.queued_ms

    @property
    def busy_ms(self) -> float:
        """Return the time until all that was sent to it is read."""
        return self.next_done_ms if self.waiting else self.opens_ms


def forecast(load: EngineLoad, costs: EngineCosts) -> PassForecast:
    """Return what an engine with this load will do."""
    found = planned_forecast(load, costs)
    if not found.waiting:
        found.opens_ms = max(found.opens_ms, _overdue_ms(load.unread))
    return found


def planned_forecast(load: EngineLoad, costs: EngineCosts) -> PassForecast:
    """Return what an engine does that takes no longer than its figures say."""
    if load.writers:
        pass_ms = costs.pass_ms(load.writers, load.context_tokens)
        return _in_passes(load.unread, pass_ms)
    return _in_chunks(load.unread)


def _in_passes(unread: Sequence[Unread], pass_ms: float) -> PassForecast:
    """Return the forecast of an engine that writes."""
    # Passes are followed from the first prompt on, on a clock that is 0 now.
    left = sorted(unread, key=_sent_ms)
    begins = -math.inf
    ends = -math.inf
    taken: list[Unread] = []
    while left:
        begins = max(ends, _sent_ms(left[0]) + pass_ms * _HALF)
        if begins > 0:
            break
        taken = [one for one in left if _sent_ms(one) <= begins]
        left = left[len(taken) :]
        ends = begins + pass_ms + _read_ms(taken)
    if ends <= 0:
        # What the last pass took was read; none of it is still to begin.
        taken = []
    found = PassForecast(
        pass_ms=pass_ms,
        opens_ms=begins if left else max(ends, pass_ms * _HALF),
        queued_ms=_read_ms(left),
        waiting=tuple(left),
        starting=tuple(filter(_is_answered_here, taken)),
    )
    found.done_ms = (found.next_done_ms,) * len(left)
    return found


class _Reading(msgspec.Struct):
    """A prompt at an engine that only reads, and what is left of it."""

    unread: Unread
    left_ms: float


def _in_chunks(unread: Sequence[Unread]) -> PassForecast:
    """Return the forecast of an engine that only reads."""
    queued: float = 0
    done: list[float] = []
    readings = _in_order(_left_by_now(unread))
    for reading in readings:
        queued += reading.left_ms
        done.append(queued)
    waiting = tuple(one.unread for one in readings)
    left = {one.key for one in waiting}
    return PassForecast(
        queued_ms=queued,
        waiting=waiting,
        done_ms=tuple(done),
        starting=tuple(
            one
            for one in unread
            if one.key not in left and _is_answered_here(one)
        ),
    )


def _left_by_now(unread: Sequence[Unread]) -> list[_Reading]:
    """Return what is left to read, in the order of sending."""
    readings: list[_Reading] = []
    at: float = 0
    for one in sorted(unread, key=_sent_ms):
        sent = _sent_ms(one)
        readings = _after(readings, sent - at)
        readings.append(_Reading(one, one.read_ms))
        at = sent
    return _after(readings, -at)


def _after(readings: list[_Reading], time_ms: float) -> list[_Reading]:
    """Return what is left to read after some time."""
    for reading in _in_order(readings):
        spent = min(time_ms, reading.left_ms)
        reading.left_ms -= spent
        time_ms -= spent
    return [one for one in readings if one.left_ms > 0]


def _in_order(readings: Sequence[_Reading]) -> list[_Reading]:
    """Return readings in the order in which an engine takes them."""
    ahead = [one for one in reversed(readings) if one.unread.is_ahead]
    return ahead + [one for one in readings if not one.unread.is_ahead]


def _overdue_ms(unread: Iterable[Unread]) -> float:
    """Return how long an engine is taken to be busy beyond the forecast.

    A part of a split prompt says nothing: its prompt may wait for another
    engine.
    """
    overdue = [
        one.waited_ms - one.read_ms for one in unread if not one.is_ahead
    ]
    return max(overdue, default=0) * _OVERDUE_PART


def _is_answered_here(unread: Unread) -> bool:
    return bool(unread.pause_ms)


def _sent_ms(unread: Unread) -> float:
    return -unread.waited_ms


def _read_ms(unread: Iterable[Unread]) -> float:
    return sum(one.read_ms for one in unread)
