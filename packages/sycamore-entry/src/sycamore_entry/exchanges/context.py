"""The components that all exchanges of an entry process share."""

import asyncio
import dataclasses

from sycamore_core.clock import Clock
from sycamore_core.decisions import Scheduler
from sycamore_core.telemetry import Attainment, Log, Metrics

from ..fleet import EndpointLinks
from ..records import RecordRegistry
from .open_exchanges import OpenExchanges
from .registry import ExchangeRegistry


@dataclasses.dataclass
class EntryContext:
    """The shared components of an entry process.

    Attributes
    ----------
    open
        The tasks of the exchanges in progress.
    dispatch_needed
        Set when the scheduler may have a request to dispatch.
    """

    clock: Clock
    scheduler: Scheduler
    links: EndpointLinks
    registry: ExchangeRegistry
    records: RecordRegistry
    attainment: Attainment
    metrics: Metrics
    log: Log
    open: OpenExchanges = dataclasses.field(default_factory=OpenExchanges)
    dispatch_needed: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return self.clock.monotonic()
