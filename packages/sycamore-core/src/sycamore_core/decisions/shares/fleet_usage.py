"""What workspaces use through other entries, from their reports."""

import heapq
import math
from collections.abc import Iterable, Mapping
from itertools import islice

import msgspec

from ...ids import PeerId, WorkspaceId
from ...routing import WorkspaceUsage
from ..direct import STALE_SECONDS
from .meter import WorkspaceMeter

#: Largest number of workspaces in one report. The largest are reported: they
#: decide who is over its share.
MAX_REPORTED_WORKSPACES = 32
#: Largest values that a report can have, whatever its sender states: the
#: engine time of 10,000 engines, a million tokens for each of them, and the
#: full queues of 500 entries.
_MAX_ENGINE_MS_PER_S = 10_000_000
_MAX_MEMORY_TOKENS = 10_000_000_000
_MAX_WAITING = 100_000


class UsageSum(msgspec.Struct):
    """Sum of usages of one workspace.

    Reports have whole numbers, so that removing a report leaves no remainder.
    """

    engine_ms_per_s: float = 0
    memory_tokens: int = 0
    waiting: int = 0

    def add(self, usage: WorkspaceUsage, sign: int = 1) -> None:
        """Add a report, or remove it with the sign -1."""
        self.engine_ms_per_s += sign * usage.engine_ms_per_s
        self.memory_tokens += sign * usage.memory_tokens
        self.waiting += sign * usage.waiting

    @property
    def is_zero(self) -> bool:
        """Whether no report is left."""
        return not (self.engine_ms_per_s or self.memory_tokens or self.waiting)


class _Report(msgspec.Struct, frozen=True):
    received_at: float
    usages: tuple[WorkspaceUsage, ...]


class FleetUsage:
    """Usage of workspaces through peers; reports expire when they are stale.

    Attributes
    ----------
    sums
        Sum of all fresh reports, by workspace.
    waiting
        Number of requests that wait at peers.

    Examples
    --------
    >>> fleet = FleetUsage()
    >>> fleet.apply('entry-2', (WorkspaceUsage('w', 500, 0, 3),), now=10)
    >>> fleet.sums['w'].engine_ms_per_s, fleet.waiting
    (500, 3)
    >>> fleet.expire(now=14)
    >>> fleet.sums
    {}
    """

    def __init__(self) -> None:
        self.sums: dict[WorkspaceId, UsageSum] = {}
        self.waiting = 0
        self._reports: dict[PeerId, _Report] = {}

    def apply(
        self,
        source: PeerId,
        usages: Iterable[WorkspaceUsage],
        now: float,
    ) -> None:
        """Replace the report of an entry or of a cell."""
        self.remove(source)
        bounded = islice(usages, MAX_REPORTED_WORKSPACES)
        clamped = map(_clamped, bounded)
        clean = tuple(usage for usage in clamped if _is_any(usage))
        if not clean:
            return
        self._reports[source] = _Report(now, clean)
        for usage in clean:
            self.sums.setdefault(usage.workspace, UsageSum()).add(usage)
            self.waiting += usage.waiting

    def remove(self, source: PeerId) -> None:
        """Remove the report of an entry or of a cell."""
        report = self._reports.pop(source, None)
        if report is None:
            return
        for usage in report.usages:
            self._subtract(usage)

    def expire(self, now: float) -> None:
        """Remove the reports that are stale."""
        stale = [
            source
            for source, report in self._reports.items()
            if now - report.received_at >= STALE_SECONDS
        ]
        for source in stale:
            self.remove(source)

    def _subtract(self, usage: WorkspaceUsage) -> None:
        self.waiting -= usage.waiting
        total = self.sums[usage.workspace]
        total.add(usage, sign=-1)
        if total.is_zero:
            self.sums.pop(usage.workspace)


def largest_usages(
    usages: Iterable[WorkspaceUsage], number: int
) -> list[WorkspaceUsage]:
    """Return the largest usages that are not 0, the largest first.

    A usage is compared by the part of the sum that it has, of engine time or
    of memory, whichever is more.
    """
    found = [usage for usage in usages if _is_any(usage)]
    engine = sum(usage.engine_ms_per_s for usage in found) or 1
    memory = sum(usage.memory_tokens for usage in found) or 1
    return heapq.nlargest(
        number,
        found,
        key=lambda usage: max(
            usage.engine_ms_per_s / engine, usage.memory_tokens / memory
        ),
    )


def summed_usages(
    *groups: Mapping[WorkspaceId, WorkspaceMeter | UsageSum],
) -> dict[WorkspaceId, UsageSum]:
    """Return the sum of usages by workspace."""
    sums: dict[WorkspaceId, UsageSum] = {}
    for group in groups:
        for workspace, usage in group.items():
            total = sums.get(workspace)
            if total is None:
                total = UsageSum()
                sums[workspace] = total
            total.engine_ms_per_s += usage.engine_ms_per_s
            total.memory_tokens += usage.memory_tokens
            total.waiting += usage.waiting
    return sums


def usages_of(
    usages: Mapping[WorkspaceId, WorkspaceMeter | UsageSum],
) -> list[WorkspaceUsage]:
    """Return usages as they are reported, in whole milliseconds."""
    return [
        WorkspaceUsage(
            workspace,
            round(usage.engine_ms_per_s),
            usage.memory_tokens,
            usage.waiting,
        )
        for workspace, usage in usages.items()
    ]


def _clamped(usage: WorkspaceUsage) -> WorkspaceUsage:
    return msgspec.structs.replace(
        usage,
        engine_ms_per_s=_clamp(usage.engine_ms_per_s, _MAX_ENGINE_MS_PER_S),
        memory_tokens=_clamp(usage.memory_tokens, _MAX_MEMORY_TOKENS),
        waiting=_clamp(usage.waiting, _MAX_WAITING),
    )


def _clamp(count: float, most: int) -> int:
    if math.isnan(count):
        return 0
    return round(max(0, min(count, most)))


def _is_any(usage: WorkspaceUsage) -> bool:
    resources = (usage.engine_ms_per_s, usage.memory_tokens)
    return usage.waiting > 0 or any(resources)
