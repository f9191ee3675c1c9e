"""A forwarding entry on loopback, with endpoints that follow a script."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from sycamore_core.clock import SystemClock
from sycamore_core.ids import (
    EndpointId,
    EntryId,
    ServiceId,
    SettingsVersion,
    WorkspaceId,
    ZoneId,
)
from sycamore_core.routing import (
    EndpointRecord,
    EngineCosts,
    PublishedTable,
    Route,
    RouteKind,
    RoutingTable,
    ServiceRecord,
    ServiceShare,
    WorkspaceRecord,
)
from sycamore_core.telemetry import Log
from sycamore_standins.served_connections import ServedConnections
from tornado.httputil import HTTPHeaders

from ..callers.caller import CallerConnections
from ..callers.caller_answer import CallerAnswer, RequestServer
from ..callers.caller_request import CallerRequest
from ..callers.exchange import Exchange
from ..callers.server import CallerServer
from ..context import ForwardingContext
from ..endpoints.pool import ChannelPool
from ..errors import WireError
from ..fleet.feed import ChangeBatch, FleetFeed, FleetSnapshot, Revision
from ..fleet.keeper import FleetKeeper
from ..metrics import ForwardingMetrics
from ..placement.dispatcher import DirectDispatcher
from ..settings import ForwardingSettings
from ..wire import (
    AnnouncedLimit,
    AnswerHead,
    CallTerms,
    ColdNotice,
    Order,
    OutgoingTerms,
    RequestedBackoff,
    WireFormat,
)

HOST = '127.0.0.1'
SERVICE = ServiceId('booking')
MODEL = ServiceId('assistant')
KEY = 'a-key'
COSTS = EngineCosts(
    slots=8,
    memory_tokens=315_000,
    step_ms=0.85,
    writer_ms=0.0085,
    context_ms=0.00285,
    read_tokens_per_ms=177,
    pair_ms=0.184,
    pass_steps=51,
)

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class SimpleWire(WireFormat):
    """A simple header format for tests."""

    def request_id(self, headers: HTTPHeaders) -> str:
        return headers.get('Id', '')

    def read_terms(self, headers: HTTPHeaders) -> CallTerms:
        patience = headers.get('Patience')
        if patience == 'soon':
            raise WireError('Patience')
        return CallTerms(
            request_id=headers.get('Id', ''),
            patience=None if patience is None else float(patience),
            api_key=headers.get('Key', ''),
            prompt_tokens=int(headers.get('Prompt', '0')),
            shared_parts=tuple(headers.get('Parts', '').split()),
        )

    def request_headers(
        self,
        received: HTTPHeaders,
        terms: OutgoingTerms,
    ) -> HTTPHeaders:
        return HTTPHeaders(
            {
                'Id': received.get('Id', ''),
                'For': terms.endpoint,
                'After': terms.after_event,
                'Workspace': terms.workspace or '',
                'Parts': received.get('Parts', ''),
            },
        )

    def read_head(self, status: int, headers: HTTPHeaders) -> AnswerHead:
        kept = HTTPHeaders(
            {
                name: text
                for name, text in headers.get_all()
                if name not in {'Content-Length', 'Transfer-Encoding'}
            },
        )
        return AnswerHead(
            status=status,
            headers=kept,
            request_id=headers.get('Id', ''),
            has_not_run='Not-Run' in headers,
            is_signed='Signed' in headers,
            is_other_instance=status == 421,
            instance=EndpointId(headers.get('Instance', '')),
            faulty_address=headers.get('At', ''),
            closes=headers.get('Connection', '') == 'close',
            limit=announced_limit(headers.get('Limit', '')),
            is_leaving='Leaving' in headers,
            rest=requested_backoff(headers.get('Rest', '')),
            cold=cold_notice(headers.get('Cold', '')),
        )

    def own_headers(self, request_id: str) -> HTTPHeaders:
        return HTTPHeaders()

    def reserve(self, reservation: str, tokens: int, hold: float) -> Order:
        return Order('/order', f'reserve {tokens}'.encode())

    def release(self, reservation: str) -> Order:
        return Order('/order', b'release')


def requested_backoff(text: str) -> RequestedBackoff:
    return RequestedBackoff(float(text)) if text else RequestedBackoff()


def announced_limit(text: str) -> AnnouncedLimit:
    return AnnouncedLimit(float(text)) if text else AnnouncedLimit()


def cold_notice(text: str) -> ColdNotice:
    return ColdNotice(float(text)) if text else ColdNotice()


class FixedFeed(FleetFeed):
    """A platform that never changes."""

    def __init__(self, snapshot: FleetSnapshot) -> None:
        self.fixed = snapshot

    async def snapshot(self) -> FleetSnapshot:
        return self.fixed

    def read_table(self, source: bytes) -> PublishedTable:
        made = table_of(route(RouteKind.SAFE))
        made.version = SettingsVersion(int(source))
        return PublishedTable(made, source)

    async def changes(
        self,
        after: Revision,
        wait_seconds: float,
    ) -> ChangeBatch:
        await asyncio.sleep(wait_seconds)
        return ChangeBatch(after)


class RawEndpoint:
    """Accepts connections and passes each request to a script.

    Attributes
    ----------
    requests
        Headers and body of the received requests, in order.
    closed
        Number of connections that the other side closed.
    zone
        Zone in which the endpoint registers.
    """

    def __init__(self, name: str, script: Script, zone: str = 'a') -> None:
        self.name = name
        self.zone = ZoneId(zone)
        self.talk = script
        self.requests: list[dict[str, str]] = []
        self.closed = 0
        self.server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            ServedConnections(self._serve), HOST, 0
        )

    def record(self, service: ServiceId) -> EndpointRecord:
        assert self.server is not None
        port = self.server.sockets[0].getsockname()[1]
        return EndpointRecord(
            endpoint=EndpointId(self.name),
            service=service,
            host=HOST,
            port=port,
            zone=self.zone,
            slots=6,
        )

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def receive(self, reader: asyncio.StreamReader) -> dict[str, str]:
        """Return headers and body of the next request."""
        head = await reader.readuntil(b'\r\n\r\n')
        headers = parse_headers(head.decode())
        length = int(headers.get('content-length', '0'))
        body = await reader.readexactly(length)
        headers['body'] = body.decode()
        return headers

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                self.requests.append(await self.receive(reader))
                await self.talk(reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            self._writers.discard(writer)
            writer.close()


def parse_headers(head: str) -> dict[str, str]:
    lines = head.split('\r\n')
    pairs = (line.partition(':') for line in lines[1:] if line)
    found = {name.lower(): text.strip() for name, _, text in pairs}
    found['line'] = lines[0]
    return found


def full_answer(
    body: str = 'done', status: int = 200, extra: str = ''
) -> bytes:
    """Return a complete signed answer."""
    return (
        f'HTTP/1.1 {status} Answer\r\nSigned: yes\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


def stream_head() -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\nSigned: yes\r\n'
        b'Content-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )


def chunk(payload: str) -> bytes:
    return f'{len(payload):x}\r\n{payload}\r\n'.encode()


def event(number: int) -> str:
    return f'id: {number}\ndata: piece {number}\n\n'


LAST_CHUNK = b'0\r\n\r\n'
#: Time between the last bytes and the close of a connection, in seconds.
PAUSE_SECONDS = 0.05


def reply_with(*parts: bytes, close: bool = False) -> Script:
    """Return a script that answers each request with the same bytes."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for part in parts:
            writer.write(part)
            await writer.drain()
        if close:
            # Bytes that arrive together with the close of a connection may be
            # lost.
            await asyncio.sleep(PAUSE_SECONDS)
            writer.close()
            raise ConnectionError

    return script


async def never_reply(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send no answer, and wait until the other side closes."""
    await reader.read(1)
    raise ConnectionError


def route(
    kind: RouteKind,
    service: ServiceId = SERVICE,
    time_limit: float = 3,
) -> Route:
    return Route(
        name='r1',
        host='shop.example',
        prefix='/a/',
        kind=kind,
        services=(ServiceShare(service, 1),),
        time_limit=time_limit,
        objective=0.3,
        pause_objective=0.25,
        max_attempts=2,
    )


def table_of(*routes: Route) -> RoutingTable:
    return RoutingTable(
        SettingsVersion(3),
        routes,
        (
            ServiceRecord(service=SERVICE, max_connections=100),
            ServiceRecord(service=MODEL, max_connections=100, engine=COSTS),
        ),
        {KEY: WorkspaceRecord(WorkspaceId('school'))},
    )


ENDPOINT = EndpointRecord(
    endpoint=EndpointId('e1'),
    service=SERVICE,
    host=HOST,
    port=1,
    zone=ZoneId('a'),
    started_ms=5,
)
SNAPSHOT = FleetSnapshot(
    Revision(1),
    PublishedTable(table_of(route(RouteKind.SAFE)), b'3'),
    (ENDPOINT,),
)


class TestEntry(RequestServer):
    """An entry that serves callers on a free port."""

    __test__ = False

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.connections = CallerConnections(
            self, context.clock.monotonic, context.flow
        )
        self.server = CallerServer(self.connections, admit=lambda: True)

    @property
    def is_draining(self) -> bool:
        return self.context.is_draining

    @property
    def port(self) -> int:
        sockets = self.server._sockets.values()
        return next(iter(sockets)).getsockname()[1]

    @property
    def address(self) -> tuple[str, int]:
        return HOST, self.port

    def serve(self, request: CallerRequest, answer: CallerAnswer):
        return Exchange(self.context, request, answer).run()

    async def ask(
        self, *lines: str, body: bytes = b'', **headers: str
    ) -> bytes:
        """Send one request; return all bytes of the answer."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(request_bytes(*lines, body=body, **headers))
        answer = await asyncio.wait_for(reader.read(), 8)
        writer.close()
        return answer


def request_bytes(
    *lines: str,
    body: bytes = b'',
    **headers: str,
) -> bytes:
    named = {
        'Host': 'shop.example',
        'Id': 'q1',
        'Key': KEY,
        'Connection': 'close',
        'Content-Length': str(len(body)),
        **headers,
    }
    start = lines or ('POST /a/x?q=1 HTTP/1.1',)
    rest = [f'{name}: {text}' for name, text in named.items()]
    return '\r\n'.join((*start, *rest, '', '')).encode() + body


async def snapshot_of(
    served: Route,
    endpoints: tuple[RawEndpoint, ...],
) -> FleetSnapshot:
    """Start endpoints; return the platform snapshot that lists them."""
    await asyncio.gather(*(endpoint.start() for endpoint in endpoints))
    service = served.services[0].service
    return FleetSnapshot(
        Revision(1),
        PublishedTable(table_of(served), b'3'),
        tuple(endpoint.record(service) for endpoint in endpoints),
    )


@contextlib.asynccontextmanager
async def running_entry(
    served: Route,
    *endpoints: RawEndpoint,
) -> AsyncIterator[TestEntry]:
    """Run an entry in front of endpoints of the route's service.

    It started some time ago, so that its retry budget has been filled.
    """
    snapshot = await snapshot_of(served, endpoints)
    clock = SystemClock()
    keeper = FleetKeeper(FixedFeed(snapshot), clock)
    context = ForwardingContext(
        settings=ForwardingSettings(
            name=EntryId('entry-1'),
            zone=ZoneId('a'),
            callers='',
            ready='',
        ),
        clock=clock,
        wire=SimpleWire(),
        keeper=keeper,
        dispatcher=DirectDispatcher(
            EntryId('entry-1'),
            ZoneId('a'),
            keeper,
            clock,
        ),
        pool=ChannelPool(SimpleWire()),
        metrics=ForwardingMetrics(),
        log=Log('forwarding'),
    )
    context.started_at -= context.settings.retry_limit.window
    entry = TestEntry(context)
    entry.server.listen(0, HOST)
    keeping = asyncio.create_task(keeper.run())
    while not keeper.is_ready:
        await asyncio.sleep(0.01)
    try:
        yield entry
    finally:
        keeping.cancel()
        _close(entry, endpoints)


def _close(entry: TestEntry, endpoints: tuple[RawEndpoint, ...]) -> None:
    entry.server.stop()
    entry.context.pool.close()
    for endpoint in endpoints:
        if endpoint.server is not None:
            endpoint.server.close()
