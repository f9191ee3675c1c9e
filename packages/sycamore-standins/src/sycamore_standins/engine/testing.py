"""Test hooks of the engine."""

from tornado import web

from ..web import ReadyHandler
from .handlers import EngineHandler, EngineState
from .hook_bodies import EngineFaults, EngineMemory
from .server import routes


class RunsHandler(EngineHandler):
    """Tells how often each request ran."""

    def get(self) -> None:
        """Answer the runs."""
        self.send(list(self.runner.runs.values()))


class MemoryHandler(EngineHandler):
    """Tells what holds memory now."""

    def get(self) -> None:
        """Answer an `EngineMemory`."""
        model = self.runner.model
        self.send(
            EngineMemory(
                model.memory.leased_tokens,
                len(model.sequences()),
                len(model.spans()),
            ),
        )


class FaultsHandler(EngineHandler):
    """Sets how the engine misbehaves."""

    def post(self) -> None:
        """Take a whole `EngineFaults`."""
        self.runner.misbehave(self.read(EngineFaults))
        self.send(self.runner.faults)


class TakenOrdersHandler(EngineHandler):
    """Lists the orders that took effect."""

    def get(self) -> None:
        """Answer the orders, the oldest first."""
        self.send(self.state.orders.taken)


def make_application(state: EngineState) -> web.Application:
    """Return the application of the engine with its test hooks."""
    shared = {'state': state}
    return web.Application(
        [
            *routes(state),
            ('/test/ready', ReadyHandler),
            ('/test/runs', RunsHandler, shared),
            ('/test/memory', MemoryHandler, shared),
            ('/test/faults', FaultsHandler, shared),
            ('/test/orders', TakenOrdersHandler, shared),
        ],
    )
