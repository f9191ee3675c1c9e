"""When an engine accepts new work, and when it has read its prompts.

An engine works in passes and accepts new work between two passes. While the
engine generates, a pass consists of many decoding steps and of reading the
prompts that were present when the pass began. A prompt that arrives later waits
for the end of the pass, and all first tokens and events of a pass are emitted
at its end. An engine that only reads begins a new pass with each chunk of a
prompt. Parts of split prompts therefore go ahead of the queue at once, the
latest part first.

If each part were assumed to be read at once, reading would take up to three
times as long as expected, and all later decisions would be based on a wrong
load.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

from ...routing import EngineCosts, EngineLoad, UnreadPrompt

#: Mean fraction of a pass that remains when a request arrives.
_MEAN_REMAINING_FRACTION = 0.5
#: Estimate of the remaining time of overdue reading, as a fraction of the time
#: by which it is overdue. An engine with unreported load reads for longer than
#: estimated. Without this, the engine would look idle after the estimated time
#: and attract more work.
_OVERDUE_FRACTION = 0.5


class PassForecast(msgspec.Struct, kw_only=True):
    """Forecast of the passes of an engine under its known load.

    Attributes
    ----------
    pass_ms
        Duration of a pass that reads nothing, in milliseconds; 0 if the
        engine does not generate.
    next_intake_ms
        Time until the engine next accepts work, in milliseconds.
    queued_ms
        Reading that has not begun, in milliseconds: the reading of the next
        pass while the engine generates, otherwise that of all prompts.
    done_ms
        Time until each prompt is read, in the order of `waiting`, in
        milliseconds.
    waiting
        Prompts that new work delays.
    starting
        Prompts whose own part has been read here. Their answers begin with
        the next pass, or once other engines have read their parts.
    """

    pass_ms: float = 0
    next_intake_ms: float = 0
    queued_ms: float = 0
    waiting: tuple[UnreadPrompt, ...] = ()
    done_ms: tuple[float, ...] = ()
    starting: tuple[UnreadPrompt, ...] = ()

    @property
    def is_generating(self) -> bool:
        """Whether the engine generates and therefore reads in long passes."""
        return self.pass_ms > 0

    @property
    def queue_done_ms(self) -> float:
        """Time until an empty prompt behind the queue would be read, in ms."""
        return self.next_intake_ms + self.pass_ms + self.queued_ms

    @property
    def busy_ms(self) -> float:
        """Time until all prompts of the engine are read, in milliseconds."""
        return self.queue_done_ms if self.waiting else self.next_intake_ms


def forecast_passes(load: EngineLoad, costs: EngineCosts) -> PassForecast:
    """Return the forecast for an engine, with an allowance for overdue work."""
    forecast = nominal_forecast(load, costs)
    if not forecast.waiting:
        forecast.next_intake_ms = max(
            forecast.next_intake_ms, _overdue_ms(load.unread)
        )
    return forecast


def nominal_forecast(load: EngineLoad, costs: EngineCosts) -> PassForecast:
    """Return the forecast for an engine that is as fast as its cost figures."""
    if load.writers:
        pass_ms = costs.pass_ms(load.writers, load.context_tokens)
        return _forecast_generating(load.unread, pass_ms)
    return _forecast_reading(load.unread)


def _forecast_generating(
    unread: Sequence[UnreadPrompt], pass_ms: float
) -> PassForecast:
    """Return the forecast of an engine that generates."""
    # Simulates the passes from the oldest prompt on. Times are in milliseconds
    # and relative to now, so that a time in the past is negative.
    queue = sorted(unread, key=_sent_ms)
    begins = -math.inf
    ends = -math.inf
    admitted: list[UnreadPrompt] = []
    while queue:
        begins = max(
            ends, _sent_ms(queue[0]) + pass_ms * _MEAN_REMAINING_FRACTION
        )
        if begins > 0:
            break
        admitted = [prompt for prompt in queue if _sent_ms(prompt) <= begins]
        queue = queue[len(admitted) :]
        ends = begins + pass_ms + _read_ms(admitted)
    if ends <= 0:
        # The last pass has ended, so all its answers have begun.
        admitted = []
    forecast = PassForecast(
        pass_ms=pass_ms,
        next_intake_ms=begins
        if queue
        else max(ends, pass_ms * _MEAN_REMAINING_FRACTION),
        queued_ms=_read_ms(queue),
        waiting=tuple(queue),
        starting=tuple(filter(_is_answered_here, admitted)),
    )
    forecast.done_ms = (forecast.queue_done_ms,) * len(queue)
    return forecast


class _PendingRead(msgspec.Struct):
    """A prompt at an engine that only reads, and its remaining reading time."""

    unread: UnreadPrompt
    remaining_ms: float


def _forecast_reading(unread: Sequence[UnreadPrompt]) -> PassForecast:
    """Return the forecast of an engine that only reads."""
    queued: float = 0
    done: list[float] = []
    pending = _in_read_order(_pending_now(unread))
    for reading in pending:
        queued += reading.remaining_ms
        done.append(queued)
    waiting = tuple(read.unread for read in pending)
    waiting_keys = {prompt.key for prompt in waiting}
    return PassForecast(
        queued_ms=queued,
        waiting=waiting,
        done_ms=tuple(done),
        starting=tuple(
            prompt
            for prompt in unread
            if prompt.key not in waiting_keys and _is_answered_here(prompt)
        ),
    )


def _pending_now(unread: Sequence[UnreadPrompt]) -> list[_PendingRead]:
    """Return the reading that remains now, in the order of sending."""
    pending: list[_PendingRead] = []
    at: float = 0
    for prompt in sorted(unread, key=_sent_ms):
        sent = _sent_ms(prompt)
        pending = _pending_after(pending, sent - at)
        pending.append(_PendingRead(prompt, prompt.read_ms))
        at = sent
    return _pending_after(pending, -at)


def _pending_after(
    pending: list[_PendingRead], time_ms: float
) -> list[_PendingRead]:
    """Advance the reading by some time; return the unfinished prompts."""
    for reading in _in_read_order(pending):
        spent = min(time_ms, reading.remaining_ms)
        reading.remaining_ms -= spent
        time_ms -= spent
    return [read for read in pending if read.remaining_ms > 0]


def _in_read_order(pending: Sequence[_PendingRead]) -> list[_PendingRead]:
    """Return the prompts in the order in which an engine reads them."""
    ahead = [read for read in reversed(pending) if read.unread.is_ahead]
    return ahead + [read for read in pending if not read.unread.is_ahead]


def _overdue_ms(unread: Iterable[UnreadPrompt]) -> float:
    """Return the estimated time until overdue reading ends, in milliseconds.

    Parts of split prompts are left out: the prompt may be waiting for another
    engine.
    """
    overdue = [
        prompt.waited_ms - prompt.read_ms
        for prompt in unread
        if not prompt.is_ahead
    ]
    return max(overdue, default=0) * _OVERDUE_FRACTION


def _is_answered_here(unread: UnreadPrompt) -> bool:
    return bool(unread.pause_ms)


def _sent_ms(unread: UnreadPrompt) -> float:
    return -unread.waited_ms


def _read_ms(unread: Iterable[UnreadPrompt]) -> float:
    return sum(prompt.read_ms for prompt in unread)
