"""Task that sends the engine its orders, one at a time."""

import asyncio

import msgspec
from sycamore_core.errors import BackendError
from sycamore_core.ids import FencingNumber
from sycamore_core.telemetry import Log

from ..backends.calls import BackendStatusError, ControlClient
from ..fleet import OwnSettings
from ..state import EndpointState
from .plan import (
    ORDER_TIMEOUT_SECONDS,
    EngineState,
    Order,
    OrderFacts,
    fencing_number,
    load_delay,
    next_order,
)

#: Interval between comparisons of the engine with the settings, in seconds.
CHECK_INTERVAL_SECONDS = 1.0
#: Gap between two comparisons above which this process was suspended, in
#: seconds.
MIN_PAUSE_SECONDS = 5.0


class WeightRate(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/weights/rate``."""

    bytes_per_second: float = 0
    load_bytes: float = 0

    @property
    def load_seconds(self) -> float:
        """Time of one load at the full rate of the store, in seconds."""
        if self.bytes_per_second <= 0:
            return 0
        return self.load_bytes / self.bytes_per_second


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/orders``; its content is not used."""


class OrderReconciler:
    """Make the engine load the model that the settings name.

    Parameters
    ----------
    weights
        Client of the weight store; None if the settings name no store.
    """

    def __init__(
        self,
        state: EndpointState,
        control: ControlClient,
        weights: ControlClient | None,
        *,
        checks_fencing: bool,
    ) -> None:
        self.state = state
        self.control = control
        self.weights = weights
        self.checks_fencing = checks_fencing
        self.log = Log('endpoint.orders')
        self.awake_since = state.clock.monotonic()
        self.checked_at = self.awake_since
        self.version = -1
        self.version_since = self.awake_since

    async def run(self) -> None:
        """Compare and send orders until cancelled."""
        while True:
            try:
                await self.check_once()
            except BackendError as error:
                self.log.warning('order_failed', error=str(error))
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def check_once(self) -> None:
        """Compare once and send at most one order.

        Raises
        ------
        BackendError
            If the engine or the weight store does not answer.
        """
        own = self.state.own_settings
        if own is None or not own.service.model:
            return
        self._update_times(own)
        load_seconds = await self._load_seconds()
        state = await self.control.read('/v1/state', EngineState)
        if self._detect_pause():
            return
        order = next_order(self._facts(own, state, load_seconds))
        if order is not None:
            await self._send_order(order)

    def _update_times(self, own: OwnSettings) -> None:
        self._detect_pause()
        if own.fleet.version != self.version:
            self.version = own.fleet.version
            self.version_since = self.state.clock.monotonic()

    def _detect_pause(self) -> bool:
        now = self.state.clock.monotonic()
        was_paused = now - self.checked_at > MIN_PAUSE_SECONDS
        if was_paused:
            self.awake_since = now
        self.checked_at = now
        return was_paused

    async def _load_seconds(self) -> float:
        if self.weights is None:
            return 0
        rate = await self.weights.read('/v1/weights/rate', WeightRate)
        return rate.load_seconds

    def _facts(
        self,
        own: OwnSettings,
        state: EngineState,
        load_seconds: float,
    ) -> OrderFacts:
        now = self.state.clock.monotonic()
        fleet = own.fleet
        sharing = [
            endpoint.endpoint
            for endpoint in fleet.endpoints.values()
            if endpoint.capacity_tokens
        ]
        delay = load_delay(self.state.name, sharing, load_seconds)
        return OrderFacts(
            state=state,
            wanted=own.service.model,
            fencing=self._fencing(own),
            checks_fencing=self.checks_fencing,
            awake_for=now - self.awake_since,
            turn_in=self.version_since + delay - now,
        )

    def _fencing(self, own: OwnSettings) -> FencingNumber:
        return fencing_number(own.fleet.version, self.state.incarnation)

    async def _send_order(self, order: Order) -> None:
        self.log.info('order', model=order.model, fencing=order.fencing)
        try:
            await self.control.send(
                '/v1/orders',
                order,
                OrderAnswer,
                ORDER_TIMEOUT_SECONDS,
            )
        except BackendStatusError as error:
            self.log.warning('order_refused', status=error.status)
        # The order may take long; that time is no suspension of this process.
        self.checked_at = self.state.clock.monotonic()
