"""What all exchanges of a forwarding entry share."""

import asyncio
import dataclasses

from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import RetryAllowance
from sycamore_core.ids import EntryId, ServiceId
from sycamore_core.telemetry import Log

from .dispatcher import DirectDispatcher
from .fleet import FleetKeeper
from .metrics import ForwardingMetrics
from .pool import ChannelPool
from .settings import ForwardingSettings
from .wire import WireFormat


@dataclasses.dataclass
class ForwardingContext:
    """The shared parts.

    Attributes
    ----------
    entries
        Number of entries that are heard, this one included.
    background
        Tasks that go on after the exchange that began them.
    """

    settings: ForwardingSettings
    clock: Clock
    wire: WireFormat
    keeper: FleetKeeper
    dispatcher: DirectDispatcher
    pool: ChannelPool
    metrics: ForwardingMetrics
    log: Log
    is_stopping: bool = False
    entries: int = 1
    background: set[asyncio.Task[None]] = dataclasses.field(
        default_factory=set,
    )
    allowances: dict[ServiceId, RetryAllowance] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def entry(self) -> EntryId:
        """Return the name of this entry."""
        return self.settings.name

    def allowance(self, service: ServiceId) -> RetryAllowance:
        """Return the retry allowance of a service."""
        known = self.allowances.get(service)
        if known is None:
            known = RetryAllowance(self.settings.allowance)
            self.allowances[service] = known
        return known
