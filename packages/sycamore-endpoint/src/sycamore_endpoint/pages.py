"""HTTP pages for operators: health and metrics."""

from sycamore_core.telemetry import Metrics
from tornado.web import Application, RequestHandler

from .state import EndpointState


class HealthHandler(RequestHandler):
    """Serves the phase of the process."""

    def initialize(self, state: EndpointState) -> None:
        """Set the state that is shown."""
        self.state = state

    def get(self) -> None:
        """Write the phase as JSON."""
        self.write(
            {'endpoint': self.state.name, 'phase': self.state.phase.value},
        )


class MetricsHandler(RequestHandler):
    """Serves the metrics in the Prometheus text format."""

    def initialize(self, metrics: Metrics) -> None:
        """Set the metrics that are shown."""
        self.metrics = metrics

    def get(self) -> None:
        """Write the metrics."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.write(self.metrics.page())


def make_application(state: EndpointState, metrics: Metrics) -> Application:
    """Return the web application of one endpoint process."""
    return Application(
        [
            ('/healthz', HealthHandler, {'state': state}),
            ('/metrics', MetricsHandler, {'metrics': metrics}),
        ],
    )
