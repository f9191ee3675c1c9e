"""Builders of test data, and small fakes at the interfaces of the process."""

import asyncio
import itertools
import json
import socket
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

from sycamore_core.clock import SystemClock
from sycamore_core.identity import IdKind, RequestClaims, RequestIdSigner
from sycamore_core.ids import (
    Attempt,
    Incarnation,
    KeyId,
    PeerId,
    RequestId,
    ServiceId,
    WorkspaceId,
)
from sycamore_core.messages import (
    Heartbeat,
    Message,
    Offer,
    PacketCodec,
    PeerKeys,
)
from sycamore_core.settings import EndpointProcessSettings, PeerKeyFiles
from sycamore_core.transport import Node, NodeAddress, Peer
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

WAIT_SECONDS = 20
SECRET = b'0123456789abcdef'
KEYS = PeerKeys({KeyId('k'): SECRET}, KeyId('k'))
SIGNER = RequestIdSigner(KEYS)
ENTRY_INCARNATION = Incarnation(7)
_numbers = itertools.count(1)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def make_request_id(number: int | None = None) -> RequestId:
    if number is None:
        number = next(_numbers)
    return SIGNER.mint(
        RequestClaims(
            kind=IdKind.ENTRY,
            workspace=WorkspaceId('w'),
            service=ServiceId('chat'),
            minter=PeerId('entry-1'),
            incarnation=ENTRY_INCARNATION,
            issued=0,
            nonce=str(number),
        ),
    )


def make_offer(request_id: RequestId | None = None, **changes: object) -> Offer:
    fields: dict[str, object] = {
        'request_id': request_id or make_request_id(),
        'attempt': Attempt(1),
        'incarnation': Incarnation(1),
        'workspace': WorkspaceId('w'),
        'service': ServiceId('chat'),
        'budget': 30.0,
        'prompt_tokens': 100,
        'max_output_tokens': 20,
        'idempotent': True,
        'payload': b'prompt',
    }
    fields.update(changes)
    return Offer(**fields)


class FakeEngine:
    """An engine that answers a fixed number of lines.

    Attributes
    ----------
    gate
        Lines come only while it is set.
    """

    def __init__(self, lines: int = 3) -> None:
        self.lines = lines
        self.gate = asyncio.Event()
        self.gate.set()
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.held: dict[str, int] = {}
        self.cut_after: int | None = None
        self.full = False

    async def stream(
        self, handler: RequestHandler, request_id: str, first: int
    ):
        for number in range(first, self.lines):
            await self.gate.wait()
            if request_id in self.cancelled:
                break
            line = {'sequence': number, 'text': f't{number} ', 'tokens': 1}
            handler.write(json.dumps(line) + '\n')
            await handler.flush()
            if self.cut_after == number:
                self.cut_after = None
                handler.request.connection.stream.close()
                return
        self.held.pop(request_id, None)
        outcome = 'cancelled' if request_id in self.cancelled else 'complete'
        done = {'done': True, 'outcome': outcome, 'output_tokens': self.lines}
        handler.write(json.dumps(done) + '\n')

    def application(self) -> Application:
        engine = self

        class Generate(RequestHandler):
            async def post(self) -> None:
                body = json.loads(self.request.body)
                if engine.full:
                    self.set_status(503)
                    self.write({'error': 'memory'})
                    return
                engine.started.append(body['request_id'])
                engine.held[body['request_id']] = body['prompt_tokens']
                await engine.stream(self, body['request_id'], 0)

        class Resume(RequestHandler):
            async def post(self) -> None:
                body = json.loads(self.request.body)
                if body['request_id'] not in engine.held:
                    self.set_status(404)
                    return
                await engine.stream(self, body['request_id'], body['after'] + 1)

        class Cancel(RequestHandler):
            def post(self) -> None:
                name = json.loads(self.request.body)['request_id']
                engine.cancelled.append(name)
                engine.held.pop(name, None)
                self.write({'cancelled': True})

        class Load(RequestHandler):
            def get(self) -> None:
                held = [
                    {'request_id': name, 'tokens': tokens}
                    for name, tokens in engine.held.items()
                ]
                self.write({'at': 0, 'running': len(held), 'requests': held})

        class Nothing(RequestHandler):
            def get(self) -> None:
                if 'spans' in self.request.path:
                    self.write('[]')
                else:
                    self.write({'last': 0, 'events': []})

        return Application(
            [
                ('/v1/generate', Generate),
                ('/v1/resume', Resume),
                ('/v1/cancel', Cancel),
                ('/v1/load', Load),
                ('/v1/(?:spans|events)', Nothing),
            ],
        )


class FakePlatform:
    """A settings service and list of instances."""

    def __init__(self, tree: dict[str, object]) -> None:
        self.tree = tree
        self.instances: list[dict[str, str]] = []

    def application(self) -> Application:
        platform = self

        class Settings(RequestHandler):
            async def get(self) -> None:
                above = int(self.get_argument('above'))
                version = int(platform.tree['version'])
                if version <= above:
                    await asyncio.sleep(0.1)
                    self.set_status(304)
                    return
                self.set_header('Settings-Version', str(version))
                self.write(json.dumps(platform.tree))

        class Instances(RequestHandler):
            def get(self) -> None:
                self.write(json.dumps(platform.instances))

        return Application(
            [('/v1/settings', Settings), ('/v1/instances', Instances)],
        )


def make_tree(address: str, **endpoint: object) -> dict[str, object]:
    node = {
        'service': 'chat',
        'zone': 'a',
        'address': address,
        'capacity_tokens': 1000,
    }
    return {
        'version': 1,
        'name': 'test',
        'regions': {'r': ['a']},
        'services': {'chat': {'kind': 'model'}},
        'workspaces': {'w': {'services': {'chat': {}}}},
        'endpoints': {'e1': {**node, **endpoint}},
    }


def make_settings(
    directory: Path,
    backend: str,
    platform: str,
) -> EndpointProcessSettings:
    secret = directory / 'key'
    secret.write_bytes(SECRET)
    return EndpointProcessSettings(
        name='e1',
        zone='a',
        listen=f'tcp://127.0.0.1:{free_port()}',
        backend_url=backend,
        settings_url=platform,
        instances_url=platform,
        peer_keys=PeerKeyFiles(KeyId('k'), {KeyId('k'): str(secret)}),
    )


@asynccontextmanager
async def serving(application: Application):
    port = free_port()
    server = HTTPServer(application)
    server.listen(port, '127.0.0.1')
    try:
        yield f'http://127.0.0.1:{port}'
    finally:
        server.stop()


class EntryProbe:
    """The other end of the protocol: sends messages and keeps the answers."""

    def __init__(self, name: str = 'entry-1') -> None:
        address = f'tcp://127.0.0.1:{free_port()}'
        codec = PacketCodec(KEYS, PeerId(name), ENTRY_INCARNATION, address)
        self.received: list[Message] = []
        self.news = asyncio.Event()
        self.node = Node(
            NodeAddress(address, address),
            codec,
            SystemClock(),
            self._keep,
        )
        self.node.start()

    async def _keep(self, peer: Peer) -> None:
        while True:
            self.received.append(await peer.inbound.get())
            self.news.set()

    def send(self, address: str, *messages: Message) -> None:
        for message in messages:
            self.node.peer(address).post(message)

    def of_kind(self, kind: type) -> list:
        return [entry for entry in self.received if isinstance(entry, kind)]

    async def wait(self, kind: type, count: int = 1) -> list:
        await self.wait_until(lambda: len(self.of_kind(kind)) >= count)
        return self.of_kind(kind)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                self.news.clear()
                await self.news.wait()

    async def wait_live(self, address: str) -> Incarnation:
        """Send heartbeats until the endpoint says that it is live."""
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                self.send(address, Heartbeat('entry-1', 'a', 0))
                await asyncio.sleep(0.05)
                for report in self.received:
                    if getattr(report, 'phase', None) == 'live':
                        return report.incarnation


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for something that has no event of its own."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


Story = Callable[..., Awaitable[None]]
