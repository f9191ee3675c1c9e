"""Whether the targets are met, and what is owed where they are not.

An entry process counts each admitted request that a target applies to when
its first token reaches the caller or its time is up. It counts for itself,
since its start; operators add up the rows of all entries.
"""

import msgspec

from ..ids import ServiceId, WorkspaceId
from ..settings import Target
from ..states import PromptBand

#: Stands for the services beyond those that are named.
OTHER_SERVICE = ServiceId('other')


class AttainmentKey(msgspec.Struct, frozen=True, order=True):
    """What a count is about."""

    workspace: WorkspaceId
    service: ServiceId
    band: PromptBand


class AttainmentCount:
    """Requests under one target, and the penalties owed.

    Attributes
    ----------
    share
        Part of the requests that the target commits to, from 0 to 1.
    owed
        Sum of the fixed penalties of the requests that missed it.
    """

    def __init__(self) -> None:
        self.share: float = 0
        self.met = 0
        self.missed = 0
        self.owed: float = 0

    @property
    def requests(self) -> int:
        """Return how many requests there were."""
        return self.met + self.missed

    @property
    def attained(self) -> float:
        """Return the part that met the target, 1 if there were none."""
        if not self.requests:
            return 1
        return self.met / self.requests

    def add(self, other: 'AttainmentCount') -> None:
        """Add the requests of another count."""
        self.share = max(self.share, other.share)
        self.met += other.met
        self.missed += other.missed
        self.owed += other.owed


class AttainmentRow(msgspec.Struct, frozen=True):
    """One target as operators see it.

    Attributes
    ----------
    share, attained
        Part of the requests that the target commits to, and that met it.
    kept
        Whether `attained` reaches `share`.
    owed
        Sum of the fixed penalties.
    """

    workspace: WorkspaceId
    service: ServiceId
    band: PromptBand
    requests: int
    met: int
    missed: int
    share: float
    attained: float
    kept: bool
    owed: float


class ServiceSum(msgspec.Struct, frozen=True):
    """Sum over all workspaces of one service and band."""

    service: ServiceId
    band: PromptBand
    count: AttainmentCount


class Attainment:
    """Counts requests by workspace, service and band.

    Workspaces and services are those of the settings, so the number of
    counts is bounded by what operators have published.

    Examples
    --------
    >>> attainment = Attainment()
    >>> key = AttainmentKey('school', 'chat', PromptBand.SHORT)
    >>> target = Target(PromptBand.SHORT, 0.5, share=0.9, penalty=2)
    >>> attainment.record(key, target, 0.4)
    True
    >>> attainment.record(key, target, None)
    False
    >>> [(row.attained, row.kept, row.owed) for row in attainment.rows()]
    [(0.5, False, 2)]
    """

    def __init__(self) -> None:
        self.counts: dict[AttainmentKey, AttainmentCount] = {}

    def record(
        self,
        key: AttainmentKey,
        target: Target,
        first_token_seconds: float | None,
    ) -> bool:
        """Count one request; return whether it met the target.

        Parameters
        ----------
        first_token_seconds
            Time from its arrival to its first token; None if it got none.
        """
        count = self.counts.setdefault(key, AttainmentCount())
        count.share = target.share
        has_met = (
            first_token_seconds is not None
            and first_token_seconds <= target.first_token_seconds
        )
        if has_met:
            count.met += 1
        else:
            count.missed += 1
            count.owed += target.penalty
        return has_met

    def rows(self) -> tuple[AttainmentRow, ...]:
        """Return one row for each workspace, service and band."""
        ordered = sorted(self.counts)
        return tuple(_row(key, self.counts[key]) for key in ordered)

    def by_service(self, limit: int) -> tuple[ServiceSum, ...]:
        """Return sums over all workspaces, by service and band.

        Parameters
        ----------
        limit
            Services named; those beyond it are added up as `OTHER_SERVICE`.
        """
        services = sorted({key.service for key in self.counts})
        named = frozenset(services[:limit])
        sums: dict[tuple[ServiceId, PromptBand], ServiceSum] = {}
        for key, count in self.counts.items():
            service = key.service if key.service in named else OTHER_SERVICE
            empty = ServiceSum(service, key.band, AttainmentCount())
            total = sums.setdefault((service, key.band), empty)
            total.count.add(count)
        return tuple(sums.values())


def _row(key: AttainmentKey, count: AttainmentCount) -> AttainmentRow:
    return AttainmentRow(
        workspace=key.workspace,
        service=key.service,
        band=key.band,
        requests=count.requests,
        met=count.met,
        missed=count.missed,
        share=count.share,
        attained=count.attained,
        kept=count.attained >= count.share,
        owed=count.owed,
    )
