"""Creates the state of an entry that starts."""

from sycamore_core.clock import SystemClock
from sycamore_core.telemetry import Log

from .context import ForwardingContext
from .endpoints.pool import ChannelPool
from .fleet.feed import FleetFeed
from .fleet.keeper import FleetKeeper
from .fleet.read_pace import ReadRateLimit
from .metrics import ForwardingMetrics
from .placement.dispatcher import DirectDispatcher
from .settings import ForwardingSettings
from .wire import WireFormat


def context_from_settings(
    settings: ForwardingSettings, feed: FleetFeed, wire: WireFormat
) -> ForwardingContext:
    """Return the state of an entry with all its components."""
    clock = SystemClock()
    keeper = FleetKeeper(feed, clock, ReadRateLimit(settings.change_seconds))
    return ForwardingContext(
        settings=settings,
        clock=clock,
        wire=wire,
        keeper=keeper,
        dispatcher=DirectDispatcher(
            settings.name,
            settings.zone,
            keeper,
            clock,
        ),
        pool=ChannelPool(wire),
        metrics=ForwardingMetrics(settings.name),
        log=Log('forwarding'),
    )
