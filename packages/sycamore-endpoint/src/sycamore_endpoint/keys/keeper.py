"""Checks of keys against the current state of this process."""

from collections.abc import Sequence

from sycamore_core.identity import home_among
from sycamore_core.ids import EndpointId
from sycamore_core.messages import Offer
from sycamore_core.platform import SettingsKeeper

from ..state import EndpointState
from .doubt import FRESH_VIEW_SECONDS, KeyContext, KeyRefusal, key_refusal
from .history import HomeHistory


class KeyChecker:
    """Check whether requests with a caller's key may run here.

    Attributes
    ----------
    wall
        Highest reading of the wall clock so far. If the clock could go back,
        a key that was too old and has been dropped would be accepted again.
    """

    def __init__(self, state: EndpointState, keeper: SettingsKeeper) -> None:
        self.state = state
        self.keeper = keeper
        self.history = HomeHistory(state.name)
        self.wall = state.clock.wall()
        self.refreshed_at = state.clock.monotonic()

    def refresh(self) -> None:
        """Check whether the view of the settings is fresh; called often.

        A long gap since the last call means that this process was suspended.
        The view may have been outdated then, even if it is fresh now.
        """
        now = self.state.clock.monotonic()
        was_suspended = now - self.refreshed_at > FRESH_VIEW_SECONDS
        self.refreshed_at = now
        if was_suspended or self.keeper.age > FRESH_VIEW_SECONDS:
            self.history.clear()
        if self.keeper.age <= FRESH_VIEW_SECONDS:
            self.record_endpoints()

    def record_endpoints(self) -> None:
        """Record the endpoints that share the keys of the service."""
        own, fleet = self.state.own_settings, self.keeper.fleet
        if own is None or fleet is None:
            return
        listed = fleet.endpoints_of(own.endpoint.service)
        names = [endpoint.endpoint for endpoint in listed]
        self.history.record(names, self._read_wall())

    def refusal(self, offer: Offer) -> KeyRefusal | None:
        """Return why an offer with a caller's key must not run now."""
        if offer.idempotent or not offer.idempotency_key:
            return None
        self.refresh()
        context = KeyContext(
            wall=self._read_wall(),
            home_since=self.history.home_since(
                lambda names: _home(offer, names),
            ),
            view_age=self.keeper.age,
        )
        if offer.settings_version > self.keeper.version:
            # The entry has newer settings, so the own view is outdated even
            # if the platform has confirmed it.
            return KeyRefusal.VIEW_OLD
        return key_refusal(offer.idempotency_key, context)

    def _read_wall(self) -> float:
        self.wall = max(self.wall, self.state.clock.wall())
        return self.wall


def _home(offer: Offer, names: Sequence[str]) -> str | None:
    listed = [EndpointId(name) for name in names]
    return home_among(
        listed,
        offer.workspace,
        offer.service,
        offer.idempotency_key,
    )
