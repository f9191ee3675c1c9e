"""Compare policies: ``python -m sycamore_standins.passes --seeds 8``."""

from statistics import fmean

import typer

from .loads import LOADS
from .policies import NaivePolicy, PlannedPolicy, Policy
from .replay import Replay
from .results import ReplayReport, report_on

_NAME_WIDTH = 11
_POLICY_WIDTH = 7
_HEAD = 'load         policy   share  worst  by kind'


def main(seeds: int = 4, load: str = '') -> None:
    """Replay loads under each policy, interleaved, and print a table.

    The share is the worth of what callers received, against what was owed;
    "worst" is the same in the two worst windows of two seconds.
    """
    typer.echo(_HEAD)
    chosen = [LOADS[load]] if load else list(LOADS.values())
    for one in chosen:
        for policy in (NaivePolicy(), PlannedPolicy()):
            reports = [
                report_on(Replay(one, seed, policy).run())
                for seed in range(seeds)
            ]
            typer.echo(_row(one.name, policy, reports))


def _row(name: str, policy: Policy, reports: list[ReplayReport]) -> str:
    figures = [
        fmean(one.share for one in reports),
        fmean(one.worst_windows for one in reports),
    ]
    cells = [name.ljust(_NAME_WIDTH), policy.name.ljust(_POLICY_WIDTH)]
    cells.extend(map(_shown, figures))
    for kind, part in _by_kind(reports):
        cells.append(f'{kind} {_shown(part)}')
    return '  '.join(cells)


def _shown(part: float) -> str:
    return f'{part:.3f}'


def _by_kind(reports: list[ReplayReport]) -> list[tuple[str, float]]:
    """Return each kind with its mean share."""
    found: dict[str, list[float]] = {}
    for report in reports:
        for kind in report.kinds:
            found.setdefault(kind.name, []).append(kind.share)
    return [(name, fmean(shares)) for name, shares in found.items()]


if __name__ == '__main__':
    typer.run(main)
