"""Which engines of a large fleet are weighed for a request.

Load pattern: 68 entries in five availability zones before 170 engines, with
60 short turns a second in each zone and a prompt of some hundred thousand
tokens every second. Each entry learns of another's requests some 20 ms after
they were sent, and later from farther away.

Without it: all entries choose among all engines. Each has to tell all others
of every request, which grows with the square of the entries, and a decision
weighs engines by the dozen that differ in nothing.

A cell is an availability zone: its entries tell one another at once, and place
on its engines first. Of other cells an entry knows what they had a second ago;
it turns to their engines where its own cell breaks a promise.
"""

from collections.abc import Sequence

import msgspec

from ...ids import EndpointId, ZoneId
from ...routing import EngineCosts
from .engine_harm import Candidate
from .load_book import LoadBook
from .plan import ReadPlan, ReadRequest
from .read_plan import is_turn, plan_read

#: Cost from which on the other cells are looked at, in parts of what the
#: request's own promise is worth: for a short turn, below it nobody's promise
#: is broken.
_TURN_SPILL = 0.15
#: The same for a long prompt: unless its own promise is as good as broken. Its
#: parts go ahead of what engines read, so that what is not yet known of them
#: breaks promises there: spilled as early as turns are, long prompts make more
#: answers late in the other cell than they save in their own.
_LONG_SPILL = 0.6
#: Added to the cost of each engine of another cell, in broken promises: what
#: is known of it is a second old, and turns by the dozen have come meanwhile.
_FAR_COST = 0.05


class CellView(msgspec.Struct, frozen=True, kw_only=True):
    """The cells of a fleet, as one entry sees them.

    Attributes
    ----------
    zone
        The entry's own.
    zones
        Zones that are cells; none in a fleet so small that it is one cell.
    """

    zone: ZoneId
    zones: frozenset[ZoneId] = frozenset()

    def owns(self, zone: ZoneId) -> bool:
        """Return whether engines of a zone belong to the entry's own cell.

        Engines of a zone without entries belong to all.

        Examples
        --------
        >>> view = CellView(zone='a', zones=frozenset(('a', 'b')))
        >>> [view.owns(zone) for zone in ('a', 'b', 'c')]
        [True, False, True]
        """
        return zone == self.zone or zone not in self.zones


class KnownEngine(msgspec.Struct, frozen=True, kw_only=True):
    """An engine that may take part, apart from its load.

    Attributes
    ----------
    penalty, tie
        As in `Candidate`.
    """

    endpoint: EndpointId
    zone: ZoneId
    penalty: float = 0
    tie: float = 0


def plan_in_cells(
    request: ReadRequest,
    engines: Sequence[KnownEngine],
    view: CellView,
    book: LoadBook,
    costs: EngineCosts,
    now: float,
) -> ReadPlan | None:
    """Return the plan with the least harm; None if no engine has a slot.

    Parameters
    ----------
    now
        Monotonic time, in seconds.
    """
    near = [
        _candidate(one, book, now) for one in engines if view.owns(one.zone)
    ]
    plan = plan_read(request, near, costs, book.pressure(now))
    spill = request.weight * _spill_part(request, costs)
    is_good = plan is not None and plan.cost < spill
    if is_good or len(near) == len(engines):
        return plan
    far = [
        _candidate(one, book, now, _FAR_COST)
        for one in engines
        if not view.owns(one.zone)
    ]
    pressure = book.pressure(now, everywhere=True)
    wider = plan_read(request, [*near, *far], costs, pressure)
    if plan is None or wider is None:
        return plan or wider
    return wider if wider.cost < plan.cost else plan


def _candidate(
    engine: KnownEngine,
    book: LoadBook,
    now: float,
    distance_cost: float = 0,
) -> Candidate:
    return Candidate(
        engine.endpoint,
        book.load(engine.endpoint, now),
        engine.penalty + distance_cost,
        engine.tie,
    )


def _spill_part(request: ReadRequest, costs: EngineCosts) -> float:
    if is_turn(costs, request.prompt_tokens):
        return _TURN_SPILL
    return _LONG_SPILL
