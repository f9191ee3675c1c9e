"""Plans for one prompt among engines of which some may be cold."""

import msgspec
from sycamore_core.decisions.direct import (
    CellView,
    KnownEngine,
    LoadRegistry,
    ReadPlan,
    ReadRequest,
    plan_in_cells,
)
from sycamore_core.decisions.warmup import ColdCosts
from sycamore_core.routing import EngineCosts


class EnginePlans(msgspec.Struct, frozen=True, kw_only=True):
    """Finds the best plan for one prompt.

    Attributes
    ----------
    engines
        Engines that accept the prompt.
    terms
        What it costs to place the prompt on cold engines.
    now
        Monotonic time, in seconds.
    """

    request: ReadRequest
    engines: list[KnownEngine]
    terms: ColdCosts
    cells: CellView
    loads: LoadRegistry
    costs: EngineCosts
    now: float

    def best(self) -> ReadPlan | None:
        """Return the best plan; None if no engine has a free slot."""
        if not self.terms.engines:
            return self._plan(self.engines)
        return self.terms.choose(self._plan_warm, self._plan_any)

    def _plan_warm(self) -> ReadPlan | None:
        """Return the best plan without cold engines."""
        return self._plan(
            [one for one in self.engines if not self._is_cold(one)]
        )

    def _plan_any(self) -> ReadPlan | None:
        """Return the best plan, with the penalty of cold engines."""
        return self._plan([self._with_penalty(one) for one in self.engines])

    def _with_penalty(self, engine: KnownEngine) -> KnownEngine:
        if not self._is_cold(engine):
            return engine
        penalty = engine.penalty + self.terms.penalty
        return msgspec.structs.replace(engine, penalty=penalty)

    def _is_cold(self, engine: KnownEngine) -> bool:
        return engine.endpoint in self.terms.engines

    def _plan(self, engines: list[KnownEngine]) -> ReadPlan | None:
        return plan_in_cells(
            self.request, engines, self.cells, self.loads, self.costs, self.now
        )
