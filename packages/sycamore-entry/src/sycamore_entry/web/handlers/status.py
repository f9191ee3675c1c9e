"""``/healthz`` and ``/metrics``."""

import http

import msgspec
from sycamore_core.states import RefusalReason

from ...errors import RefusedError
from .base import BaseHandler


class Health(msgspec.Struct, frozen=True):
    """Whether this process accepts requests, and its settings version."""

    ready: bool
    settings_version: int


class HealthHandler(BaseHandler):
    """Health check of the load balancer: 200 while requests are accepted."""

    def get(self) -> None:
        """Answer with the state."""
        fleet = self.context.current_fleet()
        is_discovery_complete = self.context.entry.links.is_discovery_complete
        is_ready = is_discovery_complete and not self.context.draining.is_set()
        if not is_ready:
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE.value)
        self.write_json(Health(is_ready, 0 if fleet is None else fleet.version))


class MetricsHandler(BaseHandler):
    """Serves the metrics in the text format of Prometheus."""

    def get(self) -> None:
        """Answer with the metrics."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.context.entry.metrics.page())


class NotFoundHandler(BaseHandler):
    """Refuses calls to unknown paths."""

    def prepare(self) -> None:
        """Refuse the call."""
        raise RefusedError(RefusalReason.BAD_REQUEST, 'no such resource')
