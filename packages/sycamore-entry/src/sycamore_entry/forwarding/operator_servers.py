"""The servers for the load balancer and for metrics."""

import asyncio
from collections.abc import Callable

from sycamore_core.telemetry import Log
from tornado.httpserver import HTTPServer

from .callers.listening import listen
from .callers.readiness import Readiness
from .context import ForwardingContext
from .metrics import ForwardingMetrics, MetricsPage

#: Delay from the start to the creation of the metrics exporter, in seconds.
#: Creating it takes 0.1 s, which would delay the first callers.
_METRICS_DELAY_SECONDS = 6.0


def serve_operators(
    context: ForwardingContext, is_ready: Callable[[], bool], log: Log
) -> HTTPServer:
    """Start both servers; return the one that the load balancer asks."""
    settings = context.settings
    if settings.metrics:
        _serve_metrics(settings.metrics, context.metrics, log)
    server = HTTPServer(Readiness(is_ready))
    listen(server, settings.ready)
    return server


def _serve_metrics(address: str, metrics: ForwardingMetrics, log: Log) -> None:
    """Start the server of the metrics page."""
    try:
        listen(HTTPServer(MetricsPage(metrics)), address)
    except OSError as error:
        # Callers are served without a metrics page.
        log.error('metrics_closed', reason=str(error))
    loop = asyncio.get_running_loop()
    loop.call_later(_METRICS_DELAY_SECONDS, metrics.load_metrics)
