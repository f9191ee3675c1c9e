"""State of one entry that admission control needs between requests."""

import abc
from collections import defaultdict
from collections.abc import Iterable

from sycamore_core.decisions.overload import PlainTimes, ReturnSchedule
from sycamore_core.ids import ServiceId
from sycamore_core.routing import WaitingReport

from .time_bounds import TimeBounds


class WaitingView(abc.ABC):
    """Requests that wait for a slot, here and at peers."""

    @abc.abstractmethod
    def reports(self, service: ServiceId) -> Iterable[WaitingReport]:
        """Return the waiting requests of a service, by entry and rank.

        Only the last report of each peer that is still valid is included.
        """


class NoneWaiting(WaitingView):
    """The view while requests have no queue."""

    def reports(self, service: ServiceId) -> Iterable[WaitingReport]:
        """Return no reports."""
        return ()


class OverloadState:
    """What admission control of one entry remembers.

    Attributes
    ----------
    waiting
        Requests that wait for a slot.
    returns
        Return times of refused callers.
    plain_times
        Mean times of calls, by plain service.
    time_bounds
        Time limits of more urgent routes.
    """

    def __init__(self) -> None:
        self.waiting: WaitingView = NoneWaiting()
        self.returns = ReturnSchedule()
        self.plain_times: defaultdict[ServiceId, PlainTimes]
        self.plain_times = defaultdict(PlainTimes)
        self.time_bounds = TimeBounds()
