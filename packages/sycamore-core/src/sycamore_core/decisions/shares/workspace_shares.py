"""Position of each workspace: what it uses, divided by its fair share.

The usage of this entry is always current. The max-min shares change slowly
and are computed at intervals, because they depend on all workspaces.
"""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Self

import msgspec

from ...ids import WorkspaceId
from ...routing import EngineCosts, WorkspaceUsage
from .attempt_work import AttemptWork
from .fleet_usage import (
    MAX_REPORTED_WORKSPACES,
    FleetUsage,
    UsageSum,
    largest_usages,
    summed_usages,
    usages_of,
)
from .max_min import Claim, fair_level
from .meter import RunningWork, UsageMeter
from .served_rates import ServedRates
from .weights import DEFAULT_WEIGHT

#: Time within which a workspace gets its share back from those that borrowed
#: it, in seconds. Requests with the shortest objectives wait no longer.
RECLAIM_SECONDS = 1.0
#: Interval at which the reports of peers lead to new shares, in seconds. A
#: decision computes them only if they are older than `RECLAIM_SECONDS`.
REFRESH_SECONDS = 0.5
#: Part of an equal share that each active workspace has at least.
_MIN_SHARE = 0.5
_MS = 1000.0
_NO_WEIGHTS: Mapping[WorkspaceId, float] = MappingProxyType({})


class SlotSize(msgspec.Struct, frozen=True):
    """One slot of an engine, as the smallest share of a workspace.

    Attributes
    ----------
    slot_ms_per_s
        Engine time of a slot per second, in milliseconds.
    slot_tokens
        Memory of a slot, in tokens.
    """

    slot_ms_per_s: float = 0
    slot_tokens: float = 0

    @classmethod
    def from_costs(cls, costs: EngineCosts) -> Self:
        """Return the size of a slot of the engines of a service."""
        slots = max(1, costs.slots)
        return cls(_MS / slots, costs.memory_tokens / slots)


class _Levels(msgspec.Struct, frozen=True):
    """Shares of one resource: by weight, and the least of any workspace."""

    fair: float = 0
    least: float = 0

    @classmethod
    def from_claims(cls, claims: Iterable[Claim], slot: float) -> Self:
        """Return the shares of a resource that is used up.

        Parameters
        ----------
        slot
            Least share of a workspace, unless its part is more.
        """
        found = tuple(claims)
        capacity = sum(claim.usage for claim in found)
        weighted = [claim for claim in found if claim.weight]
        if not weighted:
            return cls(least=slot)
        least = capacity * _MIN_SHARE / len(weighted)
        return cls(fair_level(weighted, capacity), max(slot, least))

    def position(self, usage: float, weight: float) -> float:
        """Return a usage divided by the share of a weight."""
        share = max(self.fair * weight, self.least)
        return usage / share if share else 0


class WorkspaceShares:
    """Usage and fair shares of all workspaces, as one entry knows them.

    Attributes
    ----------
    meter
        Usage through this entry.
    peers, cells
        Usage through other entries of the own cell, and through other cells.
    rates
        Rates at which this entry serves workspaces.
    weights
        Valid weights of workspaces, see `clean_weight`; a workspace that is
        missing has a weight of 1.
    slot
        Size of a slot.

    Examples
    --------
    >>> shares = WorkspaceShares()
    >>> large = WorkspaceUsage('large', 900, 0, 5)
    >>> small = WorkspaceUsage('small', 100, 0, 1)
    >>> shares.peers.apply('entry-2', (large, small), now=0)
    >>> shares.position('large', now=0), shares.position('small', now=0)
    (1.8, 0.2)
    """

    def __init__(self) -> None:
        self.meter = UsageMeter()
        self.peers = FleetUsage()
        self.cells = FleetUsage()
        self.rates = ServedRates()
        self.weights = _NO_WEIGHTS
        self.slot = SlotSize()
        self._engine = _Levels()
        self._memory = _Levels()
        self._refreshed_at = -math.inf
        self._dropped_at = -math.inf

    @property
    def is_contended(self) -> bool:
        """Whether requests wait for slots, here or at other entries."""
        waiting = self.meter.waiting + self.peers.waiting + self.cells.waiting
        return waiting > 0

    def position(self, workspace: WorkspaceId, now: float) -> float:
        """Return the usage of a workspace divided by its fair share.

        A workspace below 1 is under its share. The resource of which the
        workspace uses more counts. While nothing waits, all positions are 0.
        With a weight of 0, the position is infinite: the workspace gets what
        no other workspace wants. Any other workspace that is served too seldom
        has position 0.
        """
        position = self._position(workspace, now, UsageSum())
        if self.rates.is_below_floor(workspace) and position < math.inf:
            return 0
        return position

    def claim(self, workspace: WorkspaceId, now: float) -> float:
        """Return the position as if the waiting requests of this entry ran.

        When a request must be refused, the workspace with the highest claim
        is the one that asks for most. By its position alone, a workspace that
        has used little in the last seconds would keep a queue full of its
        requests while the only request of another workspace is refused.
        """
        wanted = UsageSum()
        own = self.meter.workspaces.get(workspace)
        if own is not None:
            wanted.engine_ms_per_s = own.waiting_ms_per_s
            wanted.memory_tokens = own.waiting_tokens
        return self._position(workspace, now, wanted)

    def usage(self, workspace: WorkspaceId, now: float) -> UsageSum:
        """Return the usage of a workspace through all entries."""
        total = UsageSum()
        for reports in (self.peers, self.cells):
            reported = reports.sums.get(workspace)
            if reported is not None:
                total.engine_ms_per_s += reported.engine_ms_per_s
                total.memory_tokens += reported.memory_tokens
                total.waiting += reported.waiting
        own = self.meter.workspaces.get(workspace)
        if own is not None:
            own.advance(now)
            total.engine_ms_per_s += own.engine_ms_per_s
            total.memory_tokens += own.memory_tokens
            total.waiting += own.waiting
        return total

    def weight(self, workspace: WorkspaceId) -> float:
        """Return the weight of a workspace; 1 if its record is missing."""
        return self.weights.get(workspace, DEFAULT_WEIGHT)

    def begin_wait(
        self, workspace: WorkspaceId, work: AttemptWork, now: float
    ) -> None:
        """Record that a request needs a slot."""
        self.meter.begin_wait(workspace, work, now)
        self.rates.record_arrival(workspace, now)

    def end_wait(
        self,
        workspace: WorkspaceId,
        work: AttemptWork,
        now: float,
        *,
        is_served: bool,
    ) -> None:
        """Record that a request has got a slot, or is refused."""
        self.meter.end_wait(workspace, work)
        if is_served:
            self.rates.record_served(workspace, now)

    def begin(
        self, workspace: WorkspaceId, work: AttemptWork, now: float
    ) -> RunningWork:
        """Record that an attempt begins."""
        if now - self._dropped_at >= RECLAIM_SECONDS:
            self.drop_old(now)
        return self.meter.begin(workspace, work, now)

    def refresh_if_due(self, now: float) -> None:
        """Compute the shares if requests wait and the shares are not new."""
        if self.is_contended and now - self._refreshed_at >= REFRESH_SECONDS:
            self.refresh(now)

    def refresh(self, now: float) -> None:
        """Compute the shares from the usage at present."""
        self._refreshed_at = now
        self.drop_old(now)
        sums = self._sums()
        weights = [self.weight(workspace) for workspace in sums]
        waiting = [usage.waiting > 0 for usage in sums.values()]
        engine = [usage.engine_ms_per_s for usage in sums.values()]
        memory = [usage.memory_tokens for usage in sums.values()]
        self._engine = _Levels.from_claims(
            map(Claim, engine, weights, waiting),
            self.slot.slot_ms_per_s,
        )
        self._memory = _Levels.from_claims(
            map(Claim, memory, weights, waiting),
            self.slot.slot_tokens,
        )

    def drop_old(self, now: float) -> None:
        """Drop stale reports and inactive workspaces."""
        self._dropped_at = now
        self.peers.expire(now)
        self.cells.expire(now)
        self.meter.drop_inactive(now)
        self.rates.drop_old(now)

    def usages(self) -> list[WorkspaceUsage]:
        """Return the usage of all workspaces through all entries."""
        return usages_of(self._sums())

    def own_report(self, now: float) -> tuple[WorkspaceUsage, ...]:
        """Return the largest usages through this entry."""
        self.meter.drop_inactive(now)
        return tuple(
            largest_usages(
                usages_of(self.meter.workspaces), MAX_REPORTED_WORKSPACES
            )
        )

    def cell_report(self, now: float) -> tuple[WorkspaceUsage, ...]:
        """Return the largest usages through the own cell."""
        self.peers.expire(now)
        self.meter.drop_inactive(now)
        found = summed_usages(self.meter.workspaces, self.peers.sums)
        return tuple(largest_usages(usages_of(found), MAX_REPORTED_WORKSPACES))

    def _position(
        self, workspace: WorkspaceId, now: float, wanted: UsageSum
    ) -> float:
        if not self.is_contended:
            return 0
        if now - self._refreshed_at >= RECLAIM_SECONDS:
            self.refresh(now)
        weight = self.weight(workspace)
        if not weight:
            return math.inf
        usage = self.usage(workspace, now)
        engine = usage.engine_ms_per_s + wanted.engine_ms_per_s
        memory = usage.memory_tokens + wanted.memory_tokens
        return max(
            self._engine.position(engine, weight),
            self._memory.position(memory, weight),
        )

    def _sums(self) -> dict[WorkspaceId, UsageSum]:
        reports = (self.peers.sums, self.cells.sums)
        return summed_usages(self.meter.workspaces, *reports)
