"""What every exchange of an entry process shares."""

import asyncio
import dataclasses

from sycamore_core.clock import Clock
from sycamore_core.decisions import Scheduler
from sycamore_core.telemetry import Attainment, Log, Metrics

from ..fleet import EndpointLinks
from ..records import RecordBook
from .registry import ExchangeRegistry


@dataclasses.dataclass
class EntryContext:
    """The shared parts of an entry process.

    Attributes
    ----------
    wake
        Set when the scheduler may have something to dispatch.
    """

    clock: Clock
    scheduler: Scheduler
    links: EndpointLinks
    registry: ExchangeRegistry
    records: RecordBook
    attainment: Attainment
    metrics: Metrics
    log: Log
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return self.clock.monotonic()
