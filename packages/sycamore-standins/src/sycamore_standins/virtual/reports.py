"""What a run was worth to its callers."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec
from sycamore_core.ids import WorkspaceId
from sycamore_core.states import PromptBand, RefusalReason

from .results import CallerResult

#: Parts for which times are reported; the targets speak of 95 in 100.
MEDIAN = 0.5
MOST = 0.95
NEARLY_ALL = 0.99


class BandReport(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one band or workspace.

    Attributes
    ----------
    p50, p95, p99
        Time to first token of those that got one, in seconds; NaN if none did.
    in_time
        Part of all that was answered whole with its target met.
    """

    requests: int
    p50: float
    p95: float
    p99: float
    in_time: float


class RunReport(msgspec.Struct, frozen=True, kw_only=True):
    """A whole run.

    Attributes
    ----------
    penalties
        Sum of the penalties of all that missed its target.
    goodput
        Answers in time for each second of arrivals.
    refusals
        Number of requests refused, by reason.
    fairness
        Jain's index over the workspaces' parts in time: 1 if all are equal.
    """

    requests: int
    bands: dict[PromptBand, BandReport]
    workspaces: dict[WorkspaceId, BandReport]
    in_time: float
    penalties: float
    goodput: float
    refusals: dict[RefusalReason, int]
    fairness: float


def report_on(results: Sequence[CallerResult], seconds: float) -> RunReport:
    """Sum up what callers received while requests came for `seconds`."""
    workspaces = sorted({one.request.workspace for one in results})
    by_workspace = {
        name: _group(one for one in results if one.request.workspace == name)
        for name in workspaces
    }
    bands = {
        band: _group(one for one in results if one.request.band == band)
        for band in PromptBand
    }
    good = sum(one.in_time for one in results)
    missed = (one.request.penalty for one in results if not one.in_time)
    refusals = Counter(one.refusal for one in results if one.refusal)
    return RunReport(
        requests=len(results),
        bands=bands,
        workspaces=by_workspace,
        in_time=good / max(1, len(results)),
        penalties=sum(missed),
        goodput=good / seconds,
        refusals=dict(refusals),
        fairness=_jain([one.in_time for one in by_workspace.values()]),
    )


def percentile(values: Sequence[float], part: float) -> float:
    """Return the value below which a part of the values lies.

    Examples
    --------
    >>> percentile([1, 2, 3, 4], 0.5)
    2
    """
    if not values:
        return math.nan
    place = math.ceil(part * len(values)) - 1
    return sorted(values)[max(0, place)]


def _group(results: Iterable[CallerResult]) -> BandReport:
    members = list(results)
    times = [
        one.first_token_seconds
        for one in members
        if one.first_token_seconds is not None
    ]
    good = sum(one.in_time for one in members)
    return BandReport(
        requests=len(members),
        p50=percentile(times, MEDIAN),
        p95=percentile(times, MOST),
        p99=percentile(times, NEARLY_ALL),
        in_time=good / max(1, len(members)),
    )


def _jain(parts: Sequence[float]) -> float:
    squares = sum(part * part for part in parts)
    if not squares:
        return 1
    return sum(parts) ** 2 / (len(parts) * squares)
