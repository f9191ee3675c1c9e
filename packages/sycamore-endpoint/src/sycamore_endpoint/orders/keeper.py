"""Gives the engine its orders, one at a time; one task."""

import asyncio

import msgspec
from sycamore_core.errors import BackendError
from sycamore_core.ids import FencingNumber
from sycamore_core.telemetry import Log

from ..backends.calls import BackendStatusError, ControlClient
from ..fleet import OwnSettings
from ..state import EndpointState
from .plan import (
    ORDER_SECONDS,
    EngineState,
    Order,
    OrderFacts,
    fencing_number,
    next_order,
    turn_of,
)

#: How often the engine's state is compared with the settings, in seconds.
LOOK_SECONDS = 1.0
#: A longer gap between two looks was a pause of this process, in seconds.
PAUSE_SECONDS = 5.0


class WeightRate(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/weights/rate``."""

    bytes_per_second: float = 0
    load_bytes: float = 0

    @property
    def load_seconds(self) -> float:
        """Time of one load at the whole rate, in seconds."""
        if self.bytes_per_second <= 0:
            return 0
        return self.load_bytes / self.bytes_per_second


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/orders``; nothing in it is used."""


class OrderKeeper:
    """Makes the engine hold the model that the settings name.

    Parameters
    ----------
    weights
        The weight store's client; None if the settings name no store.
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
        self.looked_at = self.awake_since
        self.version = -1
        self.version_since = self.awake_since

    async def run(self) -> None:
        """Compare and order until cancelled."""
        while True:
            try:
                await self.look()
            except BackendError as error:
                self.log.warning('order_failed', error=str(error))
            await asyncio.sleep(LOOK_SECONDS)

    async def look(self) -> None:
        """Compare once, and give at most one order.

        Raises
        ------
        BackendError
            If the engine or the weight store does not answer.
        """
        own = self.state.own_settings
        if own is None or not own.service.model:
            return
        self._note_time(own)
        load_seconds = await self._load_seconds()
        state = await self.control.read('/v1/state', EngineState)
        if self._has_slept():
            return
        order = next_order(self._facts(own, state, load_seconds))
        if order is not None:
            await self._give(order)

    def _note_time(self, own: OwnSettings) -> None:
        self._has_slept()
        if own.fleet.version != self.version:
            self.version = own.fleet.version
            self.version_since = self.state.clock.monotonic()

    def _has_slept(self) -> bool:
        now = self.state.clock.monotonic()
        slept = now - self.looked_at > PAUSE_SECONDS
        if slept:
            self.awake_since = now
        self.looked_at = now
        return slept

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
            entry.endpoint
            for entry in fleet.endpoints.values()
            if entry.capacity_tokens
        ]
        turn = turn_of(self.state.name, sharing, load_seconds)
        return OrderFacts(
            state=state,
            wanted=own.service.model,
            fencing=self._fencing(own),
            checks_fencing=self.checks_fencing,
            awake_for=now - self.awake_since,
            turn_in=self.version_since + turn - now,
        )

    def _fencing(self, own: OwnSettings) -> FencingNumber:
        return fencing_number(own.fleet.version, self.state.incarnation)

    async def _give(self, order: Order) -> None:
        self.log.info('order', model=order.model, fencing=order.fencing)
        try:
            await self.control.send(
                '/v1/orders',
                order,
                OrderAnswer,
                ORDER_SECONDS,
            )
        except BackendStatusError as error:
            self.log.warning('order_refused', status=error.status)
        # The order may have taken long; that was no pause of this process.
        self.looked_at = self.state.clock.monotonic()
