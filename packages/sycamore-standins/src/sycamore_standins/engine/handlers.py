"""What all handlers of the engine share."""

from sycamore_core.errors import BackendError

from ..web import JsonHandler
from .memory import OutOfMemoryError
from .orders import OrderBook
from .runner import EngineRunner
from .wire import ErrorBody

_CONFLICT = 409
_UNAVAILABLE = 503


class EngineState:
    """What all handlers of one engine share."""

    def __init__(self, runner: EngineRunner, orders: OrderBook) -> None:
        self.runner = runner
        self.orders = orders


class EngineHandler(JsonHandler):
    """Base of the handlers of the engine."""

    def initialize(self, state: EngineState) -> None:
        """Take the state that all handlers share."""
        self.state = state
        self.runner = state.runner

    def send_error_body(self, error: BackendError) -> None:
        """Answer why the engine does not do what it was asked."""
        if isinstance(error, OutOfMemoryError):
            self.send(ErrorBody('memory'), _UNAVAILABLE)
            return
        self.send(ErrorBody(str(error)), _CONFLICT)
