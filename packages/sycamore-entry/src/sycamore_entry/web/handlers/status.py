"""``/healthz`` and ``/metrics``."""

import http

import msgspec
from sycamore_core.states import RefusalReason

from ...errors import RefusedError
from .base import BaseHandler


class Health(msgspec.Struct, frozen=True):
    """Whether this process takes requests, and on which settings."""

    ready: bool
    settings_version: int


class HealthHandler(BaseHandler):
    """For the platform's balancer: 200 while the process takes requests."""

    def get(self) -> None:
        """Answer with the state."""
        fleet = self.context.current_fleet()
        is_settled = self.context.entry.links.is_settled
        is_ready = is_settled and not self.context.draining.is_set()
        if not is_ready:
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE.value)
        self.write_json(Health(is_ready, 0 if fleet is None else fleet.version))


class MetricsHandler(BaseHandler):
    """The Prometheus page."""

    def get(self) -> None:
        """Answer with the page."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.context.entry.metrics.page())


class NotFoundHandler(BaseHandler):
    """Any path that is not served."""

    def prepare(self) -> None:
        """Refuse."""
        raise RefusedError(RefusalReason.BAD_REQUEST, 'no such resource')
