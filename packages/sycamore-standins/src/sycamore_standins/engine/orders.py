"""Orders that an engine has taken, and its check of fencing numbers."""

import asyncio

from sycamore_core.errors import BackendError
from sycamore_core.ids import FencingNumber
from sycamore_core.states import EngineRole, OrderKind

from .order_bodies import LoadedModel, OrderBody, StateBody


class OldFencingError(BackendError):
    """The order carries a lower fencing number than one before it."""


class OrderBook:
    """What the engine has loaded, and how it came to that.

    Parameters
    ----------
    checks_fencing
        Whether an order with an old fencing number is refused.
    order_seconds
        Time that an order takes, in seconds.
    """

    def __init__(self, *, checks_fencing: bool, order_seconds: float) -> None:
        self.checks_fencing = checks_fencing
        self.order_seconds = order_seconds
        self.fencing = FencingNumber(0)
        self.models: dict[str, LoadedModel] = {}
        self.adapters: list[str] = []
        self.role = EngineRole.MIXED
        self.taken: list[OrderBody] = []
        self.in_progress = 0

    async def take(self, order: OrderBody) -> None:
        """Carry out an order.

        Raises
        ------
        OldFencingError
            If the engine checks the fencing number and it is old, when the
            order comes or when it would take effect.
        """
        self.check(order)
        self.fencing = max(self.fencing, order.fencing)
        self.in_progress += 1
        try:
            await asyncio.sleep(self.order_seconds)
        finally:
            self.in_progress -= 1
        self.check(order)
        self.taken.append(order)
        self.apply(order)

    def check(self, order: OrderBody) -> None:
        """Refuse an old order, if this engine does."""
        if self.checks_fencing and order.fencing < self.fencing:
            raise OldFencingError(f'{order.fencing} < {self.fencing}')

    def apply(self, order: OrderBody) -> None:
        """Put an order into effect."""
        if order.kind == OrderKind.LOAD_MODEL:
            loaded = LoadedModel(order.model, order.version)
            self.models[order.model] = loaded
        elif order.kind == OrderKind.LOAD_ADAPTER:
            self.adapters.append(order.adapter)
        else:
            self.role = order.role

    def state(self) -> StateBody:
        """Return the state that the engine publishes."""
        return StateBody(
            fencing=self.fencing,
            models=tuple(self.models.values()),
            adapters=tuple(self.adapters),
            role=self.role,
            busy=self.in_progress > 0,
        )
