"""What a test asks of the stand-ins beside their own protocols."""

from typing import Any, TypeVar

import msgspec
from sycamore_core.ids import SettingsVersion
from tornado.httpclient import HTTPRequest, HTTPResponse

from ..client import fetch, get
from ..engine.hook_bodies import EngineFaults, EngineMemory, EngineRun
from ..engine.order_bodies import OrderBody
from ..plain.behaviour import Behaviour
from ..plain.journal import CallRecord
from ..platform.instances import InstanceChange
from ..platform.settings import ReadCounts, SettingsMode
from .process import ProcessError

_Answer = TypeVar('_Answer')
_OK = 200
_TIMEOUT_SECONDS = 20.0
_ANY_VERSION = SettingsVersion(0)
_VERSION_HEADER = 'Settings-Version'


class Hooks:
    """Calls of the test hooks at one stand-in.

    Parameters
    ----------
    base
        Address of the stand-in, such as ``http://127.0.0.1:1``.
    """

    def __init__(self, base: str) -> None:
        self.base = base

    async def ready(self) -> bool:
        """Return whether the stand-in takes calls."""
        response = await get(f'{self.base}/test/ready')
        return response.code == _OK

    async def runs(self) -> list[EngineRun]:
        """Return what an engine ran."""
        return await self.read('/test/runs', list[EngineRun])

    async def memory(self) -> EngineMemory:
        """Return what holds memory at an engine."""
        return await self.read('/test/memory', EngineMemory)

    async def misbehave(self, faults: EngineFaults) -> None:
        """Set how an engine misbehaves."""
        await self.send('/test/faults', faults)

    async def orders(self) -> list[OrderBody]:
        """Return the orders that took effect at an engine."""
        return await self.read('/test/orders', list[OrderBody])

    async def calls(self) -> list[CallRecord]:
        """Return the calls that a plain service received."""
        return await self.read('/test/calls', list[CallRecord])

    async def behave(self, behaviour: Behaviour) -> None:
        """Set how a plain service behaves."""
        await self.send('/test/behaviour', behaviour)

    async def publish(self, version: SettingsVersion, body: bytes) -> None:
        """Publish a settings tree."""
        await self.checked(
            self.request('/test/settings', body, version),
        )

    async def settings_mode(
        self,
        mode: SettingsMode,
        version: SettingsVersion = _ANY_VERSION,
    ) -> None:
        """Set how the settings service behaves."""
        change = {'mode': mode, 'version': version}
        await self.send('/test/settings/mode', change)

    async def settings_reads(self) -> ReadCounts:
        """Return how often the settings were read."""
        return await self.read('/test/settings/reads', ReadCounts)

    async def change_instances(self, change: InstanceChange) -> None:
        """Change the list of instances."""
        await self.send('/test/instances', change)

    async def read(self, path: str, kind: type[_Answer]) -> _Answer:
        """Return the answer to a GET as `kind`."""
        response = await self.checked(HTTPRequest(f'{self.base}{path}'))
        return msgspec.json.decode(response.body, type=kind)

    async def send(self, path: str, body: Any) -> None:
        """Send a POST with a JSON body."""
        await self.checked(self.request(path, msgspec.json.encode(body)))

    def request(
        self,
        path: str,
        body: bytes,
        version: SettingsVersion = _ANY_VERSION,
    ) -> HTTPRequest:
        """Return a POST."""
        return HTTPRequest(
            f'{self.base}{path}',
            method='POST',
            body=body,
            headers={_VERSION_HEADER: str(version)},
            request_timeout=_TIMEOUT_SECONDS,
        )

    async def checked(self, request: HTTPRequest) -> HTTPResponse:
        """Send a request.

        Raises
        ------
        ProcessError
            If it is not answered by 200.
        """
        response = await fetch(request)
        if response.code != _OK:
            raise ProcessError(f'{request.url}: {response.code}')
        return response
