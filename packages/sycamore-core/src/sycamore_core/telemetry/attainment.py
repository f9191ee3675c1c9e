"""Counts requests that met or missed their targets, and the penalties owed.

An entry process counts each admitted request that a target applies to, when
the first token reaches the caller or the time limit has passed. Each entry
counts only its own requests since its start; operators add up the rows of all
entries.
"""

import msgspec

from ..ids import ServiceId, WorkspaceId
from ..settings import Target
from ..states import PromptBand

#: Label for all services beyond the number that is listed by name.
OTHER_SERVICE = ServiceId('other')


class AttainmentKey(msgspec.Struct, frozen=True, order=True):
    """Workspace, service and band that a count belongs to."""

    workspace: WorkspaceId
    service: ServiceId
    band: PromptBand


class AttainmentCount:
    """Number of requests under one target, and the penalties owed.

    Attributes
    ----------
    share
        Fraction of the requests that has to meet the target, from 0 to 1.
    owed
        Sum of the fixed penalties of the requests that missed the target.
    """

    def __init__(self) -> None:
        self.share: float = 0
        self.met = 0
        self.missed = 0
        self.owed: float = 0

    @property
    def requests(self) -> int:
        """Return the number of requests counted."""
        return self.met + self.missed

    @property
    def attained(self) -> float:
        """Return the fraction that met the target; 1 without requests."""
        if not self.requests:
            return 1
        return self.met / self.requests

    def add(self, other: 'AttainmentCount') -> None:
        """Add the requests and penalties of another count."""
        self.share = max(self.share, other.share)
        self.met += other.met
        self.missed += other.missed
        self.owed += other.owed


class AttainmentRow(msgspec.Struct, frozen=True):
    """Attainment of one target, as reported to operators.

    Attributes
    ----------
    share, attained
        Fraction of the requests that has to meet the target, and fraction
        that met it.
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


class ServiceTotal(msgspec.Struct, frozen=True):
    """Count for one service and band, summed over all workspaces."""

    service: ServiceId
    band: PromptBand
    count: AttainmentCount


class Attainment:
    """Counts met and missed targets by workspace, service and band.

    Workspaces and services come from the published settings, which bound the
    number of counts.

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
            Time from arrival to the first token; None without any token.
        """
        count = self.counts.setdefault(key, AttainmentCount())
        count.share = target.share
        is_met = (
            first_token_seconds is not None
            and first_token_seconds <= target.first_token_seconds
        )
        if is_met:
            count.met += 1
        else:
            count.missed += 1
            count.owed += target.penalty
        return is_met

    def rows(self) -> tuple[AttainmentRow, ...]:
        """Return one row for each workspace, service and band."""
        ordered = sorted(self.counts)
        return tuple(_row(key, self.counts[key]) for key in ordered)

    def totals_by_service(self, limit: int) -> tuple[ServiceTotal, ...]:
        """Return totals over all workspaces, by service and band.

        Parameters
        ----------
        limit
            Number of services listed by name; the others are added up as
            `OTHER_SERVICE`.
        """
        services = sorted({key.service for key in self.counts})
        named = frozenset(services[:limit])
        sums: dict[tuple[ServiceId, PromptBand], ServiceTotal] = {}
        for key, count in self.counts.items():
            service = key.service if key.service in named else OTHER_SERVICE
            empty = ServiceTotal(service, key.band, AttainmentCount())
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
