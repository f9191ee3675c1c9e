"""HTTP server of the three services of the platform."""

import asyncio
import time

import msgspec
from sycamore_core.ids import SettingsVersion
from sycamore_core.platform import PublishedSettings
from tornado import web

from ..web import JsonHandler, ReadyHandler
from .instances import InstanceChange, InstanceList
from .settings import ReadCounts, SettingsMode, SettingsStore
from .weights import WeightRate

_UNAVAILABLE = 503
_NOT_MODIFIED = 304
_VERSION_HEADER = 'Settings-Version'
#: A reader that is answered an old version at once would ask again at once.
_BACK_PAUSE_SECONDS = 0.2


class PlatformState:
    """What the three services hold."""

    def __init__(self) -> None:
        self.settings = SettingsStore()
        self.instances = InstanceList()
        self.weights = WeightRate()


class ModeChange(msgspec.Struct, frozen=True):
    """A mode of the settings service, and the version that it then shows."""

    mode: SettingsMode
    version: SettingsVersion = SettingsVersion(0)


class InstancesDown(msgspec.Struct, frozen=True):
    """Whether the list of instances answers 503."""

    down: bool


class PlatformHandler(JsonHandler):
    """Base of the handlers of the platform."""

    def initialize(self, state: PlatformState) -> None:
        """Take the state that all handlers share."""
        self.state = state


class SettingsHandler(PlatformHandler):
    """Lets readers read and watch the settings."""

    async def get(self) -> None:
        """Answer a newer version, or 304 once the wait is over."""
        store = self.state.settings
        store.reads += 1
        above = SettingsVersion(int(self.number('above', 0)))
        if store.mode == SettingsMode.BACK:
            await asyncio.sleep(_BACK_PAUSE_SECONDS)
        found = await store.watch(above, self.number('wait', 0))
        if store.mode == SettingsMode.DOWN:
            self.send('down', _UNAVAILABLE)
            return
        self.answer(found)

    def answer(self, found: PublishedSettings | None) -> None:
        """Send the version that was found, or 304."""
        if found is None:
            self.set_status(_NOT_MODIFIED)
            self.finish()
            return
        self.state.settings.bodies += 1
        self.set_header(_VERSION_HEADER, str(found.version))
        self.finish(found.body)


class InstancesHandler(PlatformHandler):
    """Answers the list of instances."""

    def get(self) -> None:
        """Answer the rows that show now."""
        if self.state.instances.down:
            self.send('down', _UNAVAILABLE)
            return
        self.send(self.state.instances.rows(time.monotonic()))


class WeightsHandler(PlatformHandler):
    """Answers the rate of the weight store."""

    def get(self) -> None:
        """Answer the rate in force."""
        self.send(self.state.weights)


class PublishHandler(PlatformHandler):
    """Publishes a settings tree, whatever it holds."""

    def post(self) -> None:
        """Take the version from the header and the tree from the body."""
        version = SettingsVersion(int(self.request.headers[_VERSION_HEADER]))
        settings = PublishedSettings(version, self.request.body)
        self.state.settings.publish(settings)
        self.send(version)


class ModeHandler(PlatformHandler):
    """Sets how the settings service behaves."""

    def post(self) -> None:
        """Take a `ModeChange`."""
        change = self.read(ModeChange)
        self.state.settings.behave(change.mode, change.version)
        self.send(change)


class ReadsHandler(PlatformHandler):
    """Tells how often the settings were read."""

    def get(self) -> None:
        """Answer the counts since the start."""
        store = self.state.settings
        self.send(ReadCounts(store.reads, store.bodies))


class SetInstancesHandler(PlatformHandler):
    """Changes the list of instances."""

    def post(self) -> None:
        """Take an `InstanceChange`."""
        change = self.read(InstanceChange)
        self.state.instances.change(change, time.monotonic())
        self.send(change)


class InstancesDownHandler(PlatformHandler):
    """Takes the list of instances down or brings it back."""

    def post(self) -> None:
        """Take an `InstancesDown`."""
        self.state.instances.down = self.read(InstancesDown).down
        self.send(self.state.instances.down)


class SetWeightsHandler(PlatformHandler):
    """Changes the rate of the weight store."""

    def post(self) -> None:
        """Take a `WeightRate`."""
        self.state.weights = self.read(WeightRate)
        self.send(self.state.weights)


def make_application(state: PlatformState) -> web.Application:
    """Return the application of the platform."""
    shared = {'state': state}
    return web.Application(
        [
            ('/v1/settings', SettingsHandler, shared),
            ('/v1/instances', InstancesHandler, shared),
            ('/v1/weights/rate', WeightsHandler, shared),
            ('/test/ready', ReadyHandler),
            ('/test/settings', PublishHandler, shared),
            ('/test/settings/mode', ModeHandler, shared),
            ('/test/settings/reads', ReadsHandler, shared),
            ('/test/instances', SetInstancesHandler, shared),
            ('/test/instances/down', InstancesDownHandler, shared),
            ('/test/weights', SetWeightsHandler, shared),
        ],
    )
