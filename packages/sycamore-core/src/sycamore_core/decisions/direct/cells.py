"""Which engines of a large fleet are considered for a request.

Load pattern: 68 entries in five availability zones serve 170 engines. Each
zone receives 60 short requests per second, and a prompt of several hundred
thousand tokens arrives every second. An entry receives the report of another
entry's request about 20 ms after the request was sent, and later if the other
entry is farther away.

Without cells, all entries choose among all engines. Each entry has to report
every request to all others, so the traffic grows with the square of the number
of entries, and a decision compares dozens of engines that are equivalent.

In a large fleet, each availability zone with entries is a cell; a small fleet
is a single cell. The entries of a cell report to one another at once and place
requests on the engines of their cell first. The reports that an entry has of
other cells are about a second old. The entry considers engines of other cells
only if its own cell has no plan, or if the best plan there is likely to miss an
objective.
"""

from collections.abc import Sequence

import msgspec

from ...ids import EndpointId, ZoneId
from ...routing import EngineCosts
from .engine_harm import Candidate
from .load_registry import LoadRegistry
from .plan import ReadPlan, ReadRequest
from .read_plan import is_short_request, plan_read

#: Lowest plan cost at which other cells are considered for a short request, as
#: a fraction of the request's own weight. At a lower cost, no objective is
#: expected to be missed.
_SHORT_SPILL_FRACTION = 0.15
#: The same for a long prompt: other cells are considered only if the objective
#: of the long prompt is almost certainly missed. The parts of a long prompt go
#: ahead of all prompts that are queued at an engine. In another cell, some of
#: the queued prompts are not reported yet, and they would miss their
#: objectives. If long prompts were sent to other cells at as low a cost as
#: short requests, they would make more answers late there than they would keep
#: on time in their own cell.
_LONG_SPILL_FRACTION = 0.6
#: Added to the cost of each engine of another cell, in missed objectives. The
#: load of such an engine was reported about a second ago, and dozens of short
#: requests have arrived since.
_REMOTE_CELL_COST = 0.05


class CellView(msgspec.Struct, frozen=True, kw_only=True):
    """The cells of a fleet, as one entry sees them.

    Attributes
    ----------
    zone
        Zone of the entry.
    zones
        Zones that are cells; empty for a fleet that is small enough to be one
        cell.
    """

    zone: ZoneId
    zones: frozenset[ZoneId] = frozenset()

    def owns(self, zone: ZoneId) -> bool:
        """Return whether engines of a zone belong to the entry's own cell.

        The engines of a zone without entries belong to every cell.

        Examples
        --------
        >>> view = CellView(zone='a', zones=frozenset(('a', 'b')))
        >>> [view.owns(zone) for zone in ('a', 'b', 'c')]
        [True, False, True]
        """
        return zone == self.zone or zone not in self.zones


class KnownEngine(msgspec.Struct, frozen=True, kw_only=True):
    """An engine that can be chosen, without its load.

    Attributes
    ----------
    penalty, tie_break, slowdown
        As in `Candidate`.
    """

    endpoint: EndpointId
    zone: ZoneId
    penalty: float = 0
    tie_break: float = 0
    slowdown: float = 1


def plan_in_cells(
    request: ReadRequest,
    engines: Sequence[KnownEngine],
    view: CellView,
    registry: LoadRegistry,
    costs: EngineCosts,
    now: float,
) -> ReadPlan | None:
    """Return the best plan of the own cell or, if it costs too much, of all.

    Engines of other cells are considered only if the own cell has no plan, or
    if the cost of its best plan reaches a limit, which is higher for long
    prompts. Returns None if no engine has a free slot, or if the memory does
    not suffice.

    Parameters
    ----------
    now
        Monotonic time, in seconds.
    """
    local = [
        _candidate(engine, registry, now)
        for engine in engines
        if view.owns(engine.zone)
    ]
    plan = plan_read(request, local, costs, registry.predicted_demand(now))
    spill_cost = request.weight * _spill_fraction(request, costs)
    is_good = plan is not None and plan.cost < spill_cost
    if is_good or len(local) == len(engines):
        return plan
    remote = [
        _candidate(engine, registry, now, _REMOTE_CELL_COST)
        for engine in engines
        if not view.owns(engine.zone)
    ]
    demand = registry.predicted_demand(now, everywhere=True)
    wider = plan_read(request, [*local, *remote], costs, demand)
    if plan is None or wider is None:
        return plan or wider
    return wider if wider.cost < plan.cost else plan


def _candidate(
    engine: KnownEngine,
    registry: LoadRegistry,
    now: float,
    added_cost: float = 0,
) -> Candidate:
    return Candidate(
        engine.endpoint,
        registry.load(engine.endpoint, now),
        engine.penalty + added_cost,
        engine.tie_break,
        engine.slowdown,
    )


def _spill_fraction(request: ReadRequest, costs: EngineCosts) -> float:
    if is_short_request(costs, request.prompt_tokens):
        return _SHORT_SPILL_FRACTION
    return _LONG_SPILL_FRACTION
