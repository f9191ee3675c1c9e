"""Decides on keys with what this process knows at the moment."""

from collections.abc import Sequence

from sycamore_core.identity import home_among
from sycamore_core.ids import EndpointId
from sycamore_core.messages import Offer
from sycamore_core.platform import SettingsKeeper

from ..state import EndpointState
from .doubt import VIEW_SECONDS, Doubt, KeyFacts, doubt_about
from .history import HomeHistory


class KeyKeeper:
    """Knows since when this process is the home of which keys.

    Attributes
    ----------
    wall
        Highest reading of the wall clock. A clock that is set back would
        make a key that was too old, and is forgotten, young again.
    """

    def __init__(self, state: EndpointState, keeper: SettingsKeeper) -> None:
        self.state = state
        self.keeper = keeper
        self.history = HomeHistory(state.name)
        self.wall = state.clock.wall()
        self.looked_at = state.clock.monotonic()

    def look(self) -> None:
        """Look whether the view of the settings is fresh; often, by a task.

        A long time since the last look was a pause of this process, in which
        the view may have been old however fresh it is now.
        """
        now = self.state.clock.monotonic()
        slept = now - self.looked_at > VIEW_SECONDS
        self.looked_at = now
        if slept or self.keeper.age > VIEW_SECONDS:
            self.history.lapse()
        if self.keeper.age <= VIEW_SECONDS:
            self.take_settings()

    def take_settings(self) -> None:
        """Note which endpoints share the keys of the service from now on."""
        own, fleet = self.state.own_settings, self.keeper.fleet
        if own is None or fleet is None:
            return
        listed = fleet.endpoints_of(own.endpoint.service)
        names = [entry.endpoint for entry in listed]
        self.history.take(names, self._read_wall())

    def doubt(self, offer: Offer) -> Doubt | None:
        """Return why an offer under a caller's key must not run now."""
        if offer.idempotent or not offer.idempotency_key:
            return None
        self.look()
        facts = KeyFacts(
            wall=self._read_wall(),
            home_since=self.history.home_since(
                lambda names: _home(offer, names),
            ),
            view_age=self.keeper.age,
        )
        if offer.settings_version > self.keeper.version:
            # An entry holds newer settings, so ours are not fresh whatever
            # the platform has confirmed.
            return Doubt.VIEW_OLD
        return doubt_about(offer.idempotency_key, facts)

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
