"""Policies that a replay compares."""

import abc
from collections.abc import Sequence

import msgspec
from sycamore_core.decisions.direct import (
    CellView,
    KnownEngine,
    LoadRegistry,
    ReadPlan,
    ReadRequest,
    is_worth_reading,
    plan_in_cells,
)
from sycamore_core.hashes import stable_fraction
from sycamore_core.ids import EndpointId
from sycamore_core.routing import EngineCosts

#: Weight of a prompt in the ranked deployment, in short requests: its base, and
#: the tokens that weigh as much as one. By the values of
#: docs/design/hard-load.md, a long prompt of 300,000 tokens is worth 5.8 short
#: requests of 5,000 (11 against 1.9).
_VALUED_BASE = 0.92
_TOKENS_PER_VALUED_REQUEST = 61_500.0
#: Part of a request by which engines are told apart that have equally many.
_TIE_PART = 0.01


class Placed(msgspec.Struct, frozen=True):
    """A request that is to be placed, and what its entry knows."""

    entry: int
    request: ReadRequest
    book: LoadRegistry
    cells: CellView
    now: float


class ValuedRequest(ReadRequest, frozen=True, kw_only=True):
    """A request that weighs what the ranked deployment pays for it."""

    @property
    def weight(self) -> float:
        """Number of short requests that are worth as much."""
        return _VALUED_BASE + self.prompt_tokens / _TOKENS_PER_VALUED_REQUEST


class Policy(abc.ABC):
    """Chooses engines.

    Attributes
    ----------
    request_type
        Decides what a request weighs against others.
    """

    name: str
    request_type: type[ReadRequest] = ReadRequest

    @abc.abstractmethod
    def place(
        self,
        placed: Placed,
        engines: Sequence[KnownEngine],
        costs: EngineCosts,
    ) -> ReadPlan | None:
        """Return where a prompt is read; None if no engine has a slot."""

    def admits(
        self,
        plan: ReadPlan,
        request: ReadRequest,
        costs: EngineCosts,
    ) -> bool:
        """Return whether a prompt is read as planned, or comes back later."""
        return True


class AlwaysReadPolicy(Policy):
    """Plans as the forwarding entry does; every prompt is read now."""

    name = 'always'

    def place(
        self,
        placed: Placed,
        engines: Sequence[KnownEngine],
        costs: EngineCosts,
    ) -> ReadPlan | None:
        """Return the plan with the least harm."""
        known = [
            msgspec.structs.replace(
                one, tie_break=_tie(placed.entry, one.endpoint)
            )
            for one in engines
        ]
        return plan_in_cells(
            placed.request,
            known,
            placed.cells,
            placed.book,
            costs,
            placed.now,
        )


class PlannedPolicy(AlwaysReadPolicy):
    """The policy of the forwarding entry."""

    name = 'planned'

    def admits(
        self,
        plan: ReadPlan,
        request: ReadRequest,
        costs: EngineCosts,
    ) -> bool:
        """Return whether it is worth what its reading does to others."""
        read_ms = costs.read_ms(request.prompt_tokens)
        return is_worth_reading(plan, request, read_ms)


class ValuedPolicy(PlannedPolicy):
    """The policy of the forwarding entry, with weights by value."""

    name = 'valued'
    request_type = ValuedRequest


class NaivePolicy(Policy):
    """Each entry sends to its own fewest requests and splits nothing."""

    name = 'naive'

    def place(
        self,
        placed: Placed,
        engines: Sequence[KnownEngine],
        costs: EngineCosts,
    ) -> ReadPlan | None:
        """Return the engine with the fewest requests of this entry."""
        orders = [_order(placed, one.endpoint) for one in engines]
        home = engines[orders.index(min(orders))].endpoint
        read_ms = costs.read_ms(placed.request.prompt_tokens)
        return ReadPlan(primary=home, part_ms=read_ms, expected_ms=read_ms)


def _order(placed: Placed, name: EndpointId) -> float:
    work = placed.book.own.get(name)
    requests = 0 if work is None else len(work.assignments)
    return requests + _tie(placed.entry, name) * _TIE_PART


def _tie(entry: int, name: EndpointId) -> float:
    return stable_fraction(f'entry-{entry} {name}')
