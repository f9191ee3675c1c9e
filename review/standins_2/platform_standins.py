"""Stand-ins of the cases: store, replicas, requesters, and entry processes.

Only the standard library is used. Everything listens on loopback addresses.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
PLAIN = 'wuno96b'
MODEL = 'huvo11a'
REASONS = {200: 'OK', 410: 'Gone', 421: 'Misdirected Request',
           500: 'Internal Server Error', 503: 'Service Unavailable'}


class Record:
    """Writes to `record.txt` what was sent, answered and run."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / 'record.txt'
        self.file = self.path.open('w')
        self.began = time.monotonic()

    def note(self, text):
        self.file.write(f'{time.monotonic() - self.began:8.3f} {text}\n')
        self.file.flush()


class Message:
    """Start line, headers (lower case) and body of an HTTP/1.1 message."""

    def __init__(self, start, headers, body=b''):
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_head(reader):
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_request(reader):
    message = await read_head(reader)
    if 'chunked' in message.headers.get('transfer-encoding', ''):
        message.body = await read_chunks(reader)
    else:
        length = int(message.headers.get('content-length', 0))
        message.body = await reader.readexactly(length)
    return message


async def read_chunks(reader):
    body = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def read_answer(reader):
    message = await read_head(reader)
    if 'content-length' in message.headers:
        length = int(message.headers['content-length'])
        message.body = await reader.readexactly(length)
    elif 'chunked' in message.headers.get('transfer-encoding', ''):
        message.body = await read_chunks(reader)
    else:
        message.body = await reader.read()
    return message


def answer_bytes(status, headers, body=b'', *, length=True):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Answer")}']
    if length:
        headers = {**headers, 'Content-Length': len(body)}
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


class Store:
    """The platform's store, as far as an entry reads it."""

    def __init__(self, host='127.0.0.1'):
        self.host = host
        self.items = {}
        self.log = []
        self.revision = 10
        self.changed = asyncio.Event()
        self.port = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    def put(self, key, document):
        """Write an item; the acknowledgement of the writer is the return."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {'key': key, 'value': value, 'revision': self.revision,
                'created': self.revision, 'lease': 0}
        self.items[key] = item
        self._publish(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._publish({'key': key, 'revision': self.revision, 'removed': True})

    def _publish(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                status, document = await self.answer(request)
                body = json.dumps(document).encode()
                headers = {'Content-Type': 'application/json',
                           'Store-Era': 1}
                writer.write(answer_bytes(status, headers, body))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        url = urlsplit(request.start.split()[1])
        query = {name: values[0] for name, values
                 in parse_qs(url.query, keep_blank_values=True).items()}
        prefix = query.get('prefix', '')
        await asyncio.sleep(0.004)
        if url.path == '/api/kv-range':
            entries = [self.items[key] for key in sorted(self.items)
                       if key.startswith(prefix)
                       and key > query.get('after', '')]
            return 200, {'entries': entries, 'truncated': False,
                         'asOf': self.revision}
        if url.path == '/api/kv-watch':
            after = int(query['after'])
            until = time.monotonic() + int(query['waitMs']) / 1000
            while True:
                events = [event for event in self.log
                          if event['revision'] > after
                          and event['key'].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {'events': events, 'asOf': self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        return 404, {}


class Replica:
    """A sound replica; subclasses change how it answers."""

    numbers = itertools.count(1)

    def __init__(self, record, service=PLAIN, host='127.0.0.1', zone='za'):
        self.record, self.service = record, service
        self.host, self.zone = host, zone
        self.name = f'i-{next(self.numbers):08x}'
        self.runs = []
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    def registration(self, state='ready'):
        return {'service': self.service, 'address': self.address,
                'zone': self.zone, 'version': 'v1', 'slots': 6,
                'state': state, 'coldLeftMs': 0, 'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'sequence': 4}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                path = request.start.split()[1]
                if path == '/health':
                    writer.write(answer_bytes(200, {'Instance-Id': self.name}))
                elif path == '/api/order':
                    writer.write(answer_bytes(200, {}, b'{"free":100000}'))
                else:
                    await self.answer(request, writer)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def headers(self, request):
        return {'Request-Id': request.headers.get('request-id', ''),
                'Response-Stamp': f'{self.name}.stamp'}

    def note_run(self, request):
        request_id = request.headers.get('request-id', '')
        self.runs.append(request_id)
        self.record.note(f'{self.name} runs {request_id}: {request.start}')

    async def answer(self, request, writer):
        expected = request.headers.get('expect-instance', self.name)
        if expected != self.name:
            writer.write(answer_bytes(421, {'Instance-Id': self.name,
                                            'Not-Executed': 1}))
            return
        self.note_run(request)
        await self.run(request, writer)

    async def run(self, request, writer):
        await asyncio.sleep(0.03)
        writer.write(answer_bytes(200, self.headers(request),
                                  self.body(request)))

    def body(self, request):
        request_id = request.headers.get('request-id', '')
        return f'answer of {self.name} to {request_id}'.encode()


def configuration(version, routes, keys=(KEY,), limits=None):
    """Return a configuration like that of a small deployment."""
    engine = {'slots': 8, 'kvCapacityTokens': 315000, 'kvTokenBytes': 163840,
              'linkMbps': 400000.0, 'stride': 51, 'models': [{'name': 'm'}],
              'step_ms': 0.85, 'per_seq_ms': 0.0085, 'context_per_k': 0.00285,
              'read_per_s': 177000.0, 'pairs_per_m': 0.184, 'chunk': 2048,
              'report_lag_ms': 200.0, 'loadsPerS': 0.0, 'loads_at_once': 8,
              'delays': [], 'usual': {'prompt': 11112, 'answer': 1622},
              'hopMs': 0.05}
    return {
        'version': version, 'routes': routes,
        'services': [
            {'name': MODEL, 'healthPath': '/health', 'maxConns': 344,
             'protocol': 'h1', 'tls': False, 'engine': engine},
            {'name': PLAIN, 'healthPath': '/health', 'maxConns': 52,
             'protocol': 'h1', 'tls': False}],
        'limits': limits or {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                             'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        'tenants': [{'name': TENANT, 'apiKeys': list(keys), 'priority': 1}]}


def route(name, prefix, kind, service=PLAIN, timeout_ms=1500, **more):
    return {'name': name, 'host': HOST_NAME, 'prefix': prefix, 'kind': kind,
            'timeoutMs': timeout_ms, 'targetLatencyMs': 200, 'priority': 1,
            'service': service, 'maxAttempts': 2, 'public': False,
            'sticky': False, **more}


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, folder, number, store, seeds, bounds=None, zone='za'):
        self.host = f'127.77.{number}.1'
        self.number, self.folder = number, pathlib.Path(folder)
        base = 21000 + os.getpid() % 3000 * 4
        self.front, self.ready, self.control = base, base + 1, base + 2
        self.store, self.seeds, self.zone = store, seeds, zone
        self.bounds = bounds or {}
        self.process = None
        self.boot = self.folder / f'boot-{number}.yaml'
        self.log = self.folder / f'entry-{number}.log'

    @property
    def seed(self):
        return f'{self.host}:{self.control}'

    def write_boot(self, **changes):
        settings = {
            'nodeName': f'front-{self.zone}-{self.number}', 'role': 'entry',
            'machineClass': 'front', 'serves': ['front', 'control'],
            'ip': self.host, 'zone': self.zone, 'region': 'san-carlos',
            'zones': {'za': 'san-carlos', 'zb': 'san-carlos'},
            'listen': {'front': f'{self.host}:{self.front}',
                       'readyAddr': f'{self.host}:{self.ready}',
                       'control': self.seed},
            'internalPorts': [7340, 7355], 'seeds': self.seeds,
            'bootstrap': True, 'countsAsLoss': False,
            'limits': {'cpuShare': 0.817, 'cores': 1, 'memoryMb': 300,
                       'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0},
            'dataDir': None, 'discovery': 'platform', 'entry': 'vip',
            'heartbeatMs': 1200,
            'faultTolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': {
                'seedLagS': 3, 'addrReuseS': 2, 'contactMs': 3000,
                'ackMs': 4000, 'catchUpS': 4, 'drainMs': 2000, 'graceS': 8,
                'lossSlackMs': 200, 'configApplyMs': 2000,
                'downgradeMs': 250, 'maxStretchMs': 5000,
                'strictRevoke': False, 'revokeMs': 5000,
                'retryBudgetRatio': 0.2, 'budgetWindowS': 10,
                'retrySlack': 106, 'recoveryS': 12, 'passMs': 120,
                'retryAfterS': 0, 'stall_ms': 1500, 'holdMaxMs': 20000,
                'freeMs': 4000, 'idleMaxMs': 9000, **self.bounds},
            'platform': {'address': self.store, 'form': 'read',
                         'writesPerS': 400, 'readsPerS': 2000,
                         'historyS': 20, 'valueBytes': 1048576,
                         'ttlMinMs': 1000},
            **changes}
        # JSON is YAML.
        self.boot.write_text(json.dumps(settings, indent=1))

    async def start(self):
        environment = {
            'PATH': os.environ['PATH'], 'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'SYCAMORESTACK_BOOT': str(self.boot),
            'ENTRY_PEER_KEY': 'change-me-change-me-change-me'}
        with self.log.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                'python3', 'platform/serve.py', 'entry', cwd=ROOT,
                env=environment, stdout=output, stderr=output)

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'entry {self.number} is not ready')

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready)
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.status == 200
        except (OSError, EOFError, TimeoutError):
            return False

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def request_bytes(method, path, request_id, deadline_ms, body=b'', **more):
    headers = {'Host': HOST_NAME, 'Request-Id': request_id,
               'Deadline-Ms': deadline_ms,
               'Authorization': f'Bearer {KEY}', **more}
    if body or method == 'POST':
        headers['Content-Length'] = len(body)
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join((*lines, '', '')).encode() + body


def run_case(case, folder):
    """Run a case; its result is the exit code: 1 broken, 0 held, 2 not run."""
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix='case-')

    async def limited():
        async with asyncio.timeout(114):
            return await case(record, scratch)

    code = 2
    try:
        code = asyncio.run(limited())
    except BaseException as error:
        record.note(f'the case could not run: {type(error).__name__} {error}')
        raise
    finally:
        record.note(f'exit code {code}')
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(scratch, ignore_errors=True)
        else:
            print(scratch)
        print({0: 'the rule held', 1: 'the rule was broken'}.get(
            code, 'the case could not run'))
    sys.exit(code)
