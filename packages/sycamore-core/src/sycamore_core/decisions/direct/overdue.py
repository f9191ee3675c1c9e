"""Whether what is known explains that a prompt has not been read yet.

Load pattern: a fifth of the engines take requests and never answer them, while
they serve others and look well. Beside them, long prompts are delayed by parts
of later ones, as their promises allow.

Without it: a report that was expected in a tenth of a second waits for nearly
half of its caller's time before it is tried elsewhere, since most prompts that
are late are only behind others, and would be no sooner anywhere else.

What it does: parts that came later are known within moments. Where they
explain the wait, the prompt stays; where nothing does, it may still be read
elsewhere within its promise.
"""

from collections.abc import Iterable

from ...ids import EndpointId, RequestId
from ...routing import EngineCosts
from .engine_work import key_of
from .load_book import LoadBook
from .pass_forecast import PassForecast, planned_forecast

#: Time that a part may be taken to need yet, in milliseconds, for its prompt
#: to count as overdue: two passes of an engine that writes.
_OVERDUE_MS = 120.0


def is_overdue(
    request_id: RequestId,
    members: Iterable[EndpointId],
    book: LoadBook,
    costs: EngineCosts,
    now: float,
) -> bool:
    """Return whether a prompt should have been read by now.

    Parameters
    ----------
    members
        The engines that read it.
    now
        Monotonic time, in seconds.
    """
    key = key_of(request_id)
    left = [
        _left_ms(planned_forecast(book.load(member, now), costs), key)
        for member in members
    ]
    return max(left) <= _OVERDUE_MS


def _left_ms(known: PassForecast, key: str) -> float:
    """Return the time until a part is read, as far as is known."""
    for one, done_ms in zip(known.waiting, known.done_ms, strict=True):
        if one.key == key:
            return done_ms
    return known.opens_ms
