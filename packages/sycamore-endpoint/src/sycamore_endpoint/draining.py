"""Draining: what starts it, and the wait for the last run."""

import asyncio

from sycamore_core.errors import PlatformError
from sycamore_core.platform import InstanceSource, InstanceState
from sycamore_core.telemetry import Log
from sycamore_core.transport import Node

from .ledger import RunLedger
from .reports import Reporter
from .state import EndpointState

#: Interval between reads of the list of instances, in seconds. A leaving
#: endpoint must accept no work after two seconds.
INSTANCES_POLL_SECONDS = 1.0
#: Interval between checks for unfinished runs while draining, in seconds.
DRAIN_POLL_SECONDS = 0.05


class DrainController:
    """Starts to drain this process and waits for its last runs.

    Offers are declined as soon as draining starts, so no new work is accepted
    even if an entry receives the report late. The report is sent at once only
    to spare entries a declined offer.

    Attributes
    ----------
    began
        When draining was asked for, on the monotonic clock, in seconds.
    """

    def __init__(
        self,
        state: EndpointState,
        runs: RunLedger,
        reporter: Reporter,
        node: Node,
    ) -> None:
        self.state = state
        self.runs = runs
        self.reporter = reporter
        self.node = node
        self.log = Log('endpoint.leaving')
        self.started = asyncio.Event()
        self.began: float = 0

    def begin(self, cause: str, asked_at: float | None = None) -> None:
        """Accept no new work from now on, and report this to all peers.

        Parameters
        ----------
        asked_at
            When this was asked for, on the monotonic clock, in seconds; now
            if it is not given.
        """
        if self.state.leaving:
            return
        now = self.state.clock.monotonic()
        self.began = now if asked_at is None else asked_at
        self.state.leaving = True
        self.log.info('leaving', cause=cause)
        self.started.set()
        self.send_reports()

    def send_reports(self) -> None:
        """Send a load report to all peers immediately."""
        report = self.reporter.report()
        for peer in tuple(self.node.peers.values()):
            peer.post(report)

    async def watch_instances(self, source: InstanceSource) -> None:
        """Read the list of instances until cancelled.

        The list lags and may be stale. Only a row that marks this endpoint as
        leaving starts to drain it; a missing row is ignored.
        """
        while True:
            try:
                rows = await source.read()
            except PlatformError as error:
                self.log.warning('instances_unreadable', error=str(error))
                rows = ()
            for row in rows:
                leaving = row.state is InstanceState.LEAVING
                if row.instance == self.state.name and leaving:
                    self.begin('instance list')
            await asyncio.sleep(INSTANCES_POLL_SECONDS)

    async def wait_until_drained(self, seconds: float) -> None:
        """Wait until all answers are acknowledged, or draining takes too long.

        Parameters
        ----------
        seconds
            Longest time to drain.
        """
        await self._wait_for_runs(self.began + seconds)
        unfinished = self.runs.unfinished()
        if unfinished:
            self.log.error('left_unfinished', runs=len(unfinished))

    async def wait_until_acknowledged(self, seconds: float) -> None:
        """Wait until all answers are acknowledged, at most `seconds`."""
        await self._wait_for_runs(self.state.clock.monotonic() + seconds)

    async def _wait_for_runs(self, until: float) -> None:
        while self.runs.unfinished() and self.state.clock.monotonic() < until:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
