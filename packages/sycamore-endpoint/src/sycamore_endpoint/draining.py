"""Leaving: what the platform's list says, and the wait for the last run."""

import asyncio

from sycamore_core.errors import PlatformError
from sycamore_core.platform import InstanceSource, InstanceState
from sycamore_core.telemetry import Log
from sycamore_core.transport import Node

from .ledger import RunLedger
from .reports import Reporter
from .state import EndpointState

#: How often the list of instances is read, in seconds. An endpoint that is
#: leaving must take no work after two seconds.
READ_SECONDS = 1.0
#: How often a process that is leaving looks whether it may end, in seconds.
DRAIN_POLL_SECONDS = 0.05


class Departure:
    """Begins to leave, and says when nothing is left to do.

    Offers are declined from the moment at which leaving begins, so no new
    work is taken however late an entry hears of it; the report sent at once
    only saves it the try.
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
        self.begun = asyncio.Event()

    def begin(self, cause: str) -> None:
        """Take no new work from now on, and tell all peers."""
        if self.state.leaving:
            return
        self.state.leaving = True
        self.log.info('leaving', cause=cause)
        self.begun.set()
        self.tell()

    def tell(self) -> None:
        """Send a report to all peers at once."""
        report = self.reporter.report()
        for peer in tuple(self.node.peers.values()):
            peer.post(report)

    async def watch(self, source: InstanceSource) -> None:
        """Read the list of instances until cancelled.

        The list lags and may be stale: that it does not name this endpoint
        means nothing, only that it names it as leaving does.
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
            await asyncio.sleep(READ_SECONDS)

    async def finish(self, seconds: float) -> None:
        """Wait until every answer was taken, `seconds` at most."""
        until = self.state.clock.monotonic() + seconds
        while self.state.clock.monotonic() < until:
            if not self.runs.unfinished():
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self.log.error('left_unfinished', runs=len(self.runs.unfinished()))
