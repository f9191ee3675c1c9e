"""Whether a silent attempt moves to another endpoint.

Load pattern: the fleet is full for some seconds, and all first events are late.

Without this, each late request moves to an engine that has a free slot at this
moment. Its prompt is prefilled twice, and other requests find no slot
meanwhile.
"""

import msgspec

from ..direct import PredictedDemand
from .slot_supply import SlotSupply

#: Estimate of the remaining time of an overdue attempt, as a fraction of the
#: time by which it is overdue. An attempt at an endpoint that hangs therefore
#: moves in the end, whatever the known load of the endpoint. A short request
#: does so within 1.5 s, before its caller cancels after two seconds.
_OVERDUE_FRACTION = 0.5


class SilentAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt without a first event, and its alternative.

    Attributes
    ----------
    waited_ms
        Time since the request was sent, in milliseconds.
    expected_ms
        Time to the first event that was expected then, in milliseconds.
    patience_ms
        Time after which the attempt may move if the fleet is not full, in
        milliseconds. While the fleet is full, forecasts underestimate by about
        this time, including that of the alternative. An attempt therefore
        counts as overdue only after it.
    remaining_ms
        Time to the first event by the known load now, in milliseconds.
    alternative_ms
        Time to the first event at another endpoint, in milliseconds; infinite
        if no other endpoint has a free slot.
    """

    waited_ms: float
    expected_ms: float
    patience_ms: float = 0
    remaining_ms: float
    alternative_ms: float

    @property
    def own_ms(self) -> float:
        """Return the estimate of the time that remains, in milliseconds."""
        overdue_ms = self.waited_ms - self.expected_ms - self.patience_ms
        return max(self.remaining_ms, overdue_ms * _OVERDUE_FRACTION)


def is_move_useful(
    attempt: SilentAttempt,
    *,
    is_full: bool,
    has_failed: bool,
) -> bool:
    """Return whether a silent attempt may move.

    Parameters
    ----------
    is_full
        Whether the fleet has more requests than slots.
    has_failed
        Whether the endpoint has failed or ended. Its requests always move.

    Examples
    --------
    >>> attempt = SilentAttempt(
    ...     waited_ms=900, expected_ms=800, remaining_ms=100,
    ...     alternative_ms=150,
    ... )
    >>> is_move_useful(attempt, is_full=True, has_failed=False)
    False
    """
    if has_failed or not is_full:
        return True
    return attempt.alternative_ms < attempt.own_ms


def is_fleet_full(
    supply: SlotSupply,
    waiting: int,
    demand: PredictedDemand,
) -> bool:
    """Return whether a service has more requests than slots.

    Parameters
    ----------
    waiting
        Requests that wait for a slot at any entry.
    demand
        Requests that are expected to arrive. The fleet is full if they find
        no slot within one residence time, although some slots are free now.

    Examples
    --------
    >>> supply = SlotSupply(free=10, busy=90, slot_seconds=2)
    >>> [
    ...     is_fleet_full(
    ...         supply, 0, PredictedDemand(
    ...             short_requests_per_s=rate, slot_seconds=2,
    ...         ),
    ...     )
    ...     for rate in (40, 60)
    ... ]
    [False, True]
    """
    free = supply.free - waiting
    if free <= 0:
        return True
    return demand.overflow(supply.slot_seconds, free, supply.busy) > 0
