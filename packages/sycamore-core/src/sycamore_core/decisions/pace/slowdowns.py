"""Engines that are slower than the cost figures of their service.

Load pattern: one engine in six works at a third of its speed for some seconds,
answers every request and looks healthy. Short requests arrive at twice their
usual rate, and each of the entries sends a few of them to each engine.

Without this, the forecast of a slow engine is as good as that of the others. It
gets its full share of the requests, each of them is late by several times its
objective, and the entries send some of them again elsewhere.

While an engine generates, the events of a stream arrive once in each pass, and
the cost figures give the duration of a pass. An interval between two events
that is longer than the pass, and longer than all reading that may belong to it,
shows that the engine is slow. Reading that is not known yet, a lost packet or a
delay in the entry lengthens single intervals as well. An engine therefore
counts as slow only if several intervals in a row are too long. An entry that is
slow itself measures long intervals at all engines, so that each measurement is
divided by the median of all engines.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable

import msgspec

from ...ids import PeerId
from ...routing import EndpointLifetime, PaceReport

#: Number of intervals in a row that must be long. A pass that reads an unknown
#: prompt of another entry lengthens one interval, and one more if the report
#: of the prompt is late.
INTERVALS = 3
#: Slowdown from which an engine counts as slow. Smaller ones are within the
#: errors of the forecasts.
MIN_SLOWDOWN = 1.8
#: Largest slowdown that is used. Slower engines are not
#: chosen in any case.
MAX_SLOWDOWN = 10.0
#: Time for which a measurement is used, in seconds. The streams of a slow
#: engine measure it again in each pass; without streams, one request after
#: this time finds out whether the engine is still slow.
VALID_SECONDS = 6.0
#: Number of measured engines from which their median is used, and from which an
#: entry reports slow engines: with fewer, it cannot tell whether the engines or
#: the entry itself is slow.
_MIN_ENGINES = 4
#: Time for which the median is used, in seconds. It changes as slowly as the
#: load of the entry, and sorting all engines for each decision is too slow.
_MEDIAN_SECONDS = 0.25
#: Largest number of reports in an update.
MAX_REPORTS = 32


class _Measurement(msgspec.Struct):
    """The last intervals between events of an engine's streams.

    Attributes
    ----------
    ratios
        Each interval as a multiple of its expected length.
    measured_at
        Time of the last interval, on the monotonic clock, in seconds.
    """

    ratios: deque[float] = msgspec.field(
        default_factory=lambda: deque(maxlen=INTERVALS)
    )
    measured_at: float = 0

    @property
    def slowdown(self) -> float:
        """Return the smallest of the last ratios; 1 if there are too few."""
        return min(self.ratios) if len(self.ratios) == INTERVALS else 1


class _ReportedSlowdown(msgspec.Struct, frozen=True):
    slowdown: float
    measured_at: float


class EngineSlowdowns:
    """Slowdowns of engines, by the measurements of this entry and its peers.

    Attributes
    ----------
    own
        Measurements of this entry.
    reported
        Latest slowdown that each peer reported of an engine.
    has_unreported
        Whether this entry has found a slow engine that peers were not told of.

    Examples
    --------
    >>> slowdowns = EngineSlowdowns()
    >>> for number in range(3):
    ...     slowdowns.record_interval('e1', 150, expected_ms=50, now=number)
    >>> slowdowns.slowdown('e1', now=2.5), slowdowns.slowdown('e1', now=12)
    (3.0, 1)
    """

    def __init__(self) -> None:
        self.own: dict[EndpointLifetime, _Measurement] = {}
        self.reported: dict[
            EndpointLifetime, dict[PeerId, _ReportedSlowdown]
        ] = {}
        self.has_unreported = False
        self._common = 1.0
        self._measured_engines = 0
        self._common_at = -math.inf

    @property
    def is_empty(self) -> bool:
        """Whether nothing was measured or reported."""
        return not (self.own or self.reported)

    def record_interval(
        self,
        endpoint: EndpointLifetime,
        interval_ms: float,
        expected_ms: float,
        now: float,
    ) -> None:
        """Record the interval between two events of a stream.

        Parameters
        ----------
        expected_ms
            Longest interval that the known work of the engine explains, in
            milliseconds.
        """
        was_slow = self._own_slowdown(endpoint, now) > 1
        measurement = self.own.setdefault(endpoint, _Measurement())
        measurement.ratios.append(interval_ms / max(1, expected_ms))
        measurement.measured_at = now
        if not was_slow and self._own_slowdown(endpoint, now) > 1:
            self.has_unreported = True

    def slowdown(self, endpoint: EndpointLifetime, now: float) -> float:
        """Return the factor by which an engine is slower than published."""
        if self.is_empty:
            return 1
        begin = now - VALID_SECONDS
        factors = [
            known.slowdown
            for known in self.reported.get(endpoint, {}).values()
            if known.measured_at >= begin
        ]
        factors.append(self._own_slowdown(endpoint, now))
        return max(factors)

    def reports(self, now: float) -> tuple[PaceReport, ...]:
        """Return the engines that this entry measures as slow, for peers."""
        found: list[PaceReport] = []
        self._common_slowdown(now)
        if self._measured_engines < _MIN_ENGINES:
            return ()
        for endpoint, measurement in self.own.items():
            slowdown = self._own_slowdown(endpoint, now)
            if slowdown > 1:
                age = round(now - measurement.measured_at, 3)
                found.append(PaceReport(endpoint, round(slowdown, 2), age))
        return tuple(found[:MAX_REPORTS])

    def apply_reports(
        self,
        peer: PeerId,
        reports: Iterable[PaceReport],
        now: float,
    ) -> list[EndpointLifetime]:
        """Apply a peer's reports; return the engines that are newly slow."""
        added = []
        for report in tuple(reports)[:MAX_REPORTS]:
            if not _is_usable(report):
                continue
            known = _ReportedSlowdown(
                min(MAX_SLOWDOWN, report.slowdown), now - report.age
            )
            if self.slowdown(report.endpoint, now) <= 1 < known.slowdown:
                added.append(report.endpoint)
            by_peer = self.reported.setdefault(report.endpoint, {})
            previous = by_peer.get(peer)
            if previous is None or known.measured_at > previous.measured_at:
                by_peer[peer] = known
        return added

    def expire(self, now: float) -> None:
        """Drop the measurements that are no longer used."""
        begin = now - VALID_SECONDS
        for endpoint, measurement in tuple(self.own.items()):
            if measurement.measured_at < begin:
                self.own.pop(endpoint)
        for endpoint, by_peer in tuple(self.reported.items()):
            fresh = {
                peer: known
                for peer, known in by_peer.items()
                if known.measured_at >= begin
            }
            if fresh:
                self.reported[endpoint] = fresh
            else:
                self.reported.pop(endpoint)

    def _own_slowdown(self, endpoint: EndpointLifetime, now: float) -> float:
        measurement = self.own.get(endpoint)
        if measurement is None or measurement.slowdown < MIN_SLOWDOWN:
            return 1
        if now - measurement.measured_at > VALID_SECONDS:
            return 1
        slowdown = measurement.slowdown / self._common_slowdown(now)
        return min(MAX_SLOWDOWN, slowdown) if slowdown >= MIN_SLOWDOWN else 1

    def _common_slowdown(self, now: float) -> float:
        """Return the median over all measured engines, which is at least 1."""
        if now - self._common_at >= _MEDIAN_SECONDS:
            self._common_at = now
            self._common = self._median(now)
        return self._common

    def _median(self, now: float) -> float:
        begin = now - VALID_SECONDS
        measured = [
            one.slowdown
            for one in self.own.values()
            if one.measured_at >= begin and len(one.ratios) == INTERVALS
        ]
        self._measured_engines = len(measured)
        if len(measured) < _MIN_ENGINES:
            return 1
        return max(1, statistics.median(measured))


def _is_usable(report: PaceReport) -> bool:
    """Return whether a report has possible values; NaN fails both tests."""
    return report.slowdown >= 1 and report.age >= 0
