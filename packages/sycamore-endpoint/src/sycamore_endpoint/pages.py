"""HTTP pages for operators: health and metrics."""

from sycamore_core.telemetry import Metrics
from tornado.web import Application, RequestHandler

from .state import EndpointState


class HealthHandler(RequestHandler):
    """Tells in which phase the process is."""

    def initialize(self, state: EndpointState) -> None:
        """Take what the handler shows."""
        self.state = state

    def get(self) -> None:
        """Answer the phase as JSON."""
        self.write(
            {'endpoint': self.state.name, 'phase': self.state.phase.value},
        )


class MetricsHandler(RequestHandler):
    """Serves the Prometheus page."""

    def initialize(self, metrics: Metrics) -> None:
        """Take what the handler shows."""
        self.metrics = metrics

    def get(self) -> None:
        """Answer the page."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.write(self.metrics.page())


def make_application(state: EndpointState, metrics: Metrics) -> Application:
    """Return the pages of one endpoint process."""
    return Application(
        [
            ('/healthz', HealthHandler, {'state': state}),
            ('/metrics', MetricsHandler, {'metrics': metrics}),
        ],
    )
