"""Slopes from which docs/CAPACITY.md works out the target size.

Run ``python benchmarks/capacity.py links``, ``settings``, ``exchanges`` or
``packets``. Each prints one row a size; the slope is the difference between
the largest and the smallest row, for each unit of size.
"""

import asyncio
import contextlib
import gc
import hashlib
import multiprocessing
import os
import pathlib
import socket
import time
from collections.abc import Sequence

import msgspec
import typer
from sycamore_core.clock import SystemClock
from sycamore_core.decisions import EndpointView
from sycamore_core.ids import (
    Attempt,
    EndpointId,
    EntryId,
    Incarnation,
    KeyId,
    PeerId,
    RequestId,
    ServiceId,
    SettingsVersion,
    ZoneId,
)
from sycamore_core.ids import (
    Sequence as FrameNumber,
)
from sycamore_core.messages import (
    Frame,
    Heartbeat,
    LoadReport,
    Message,
    PacketCodec,
    PeerKeys,
)
from sycamore_core.platform import SettingsClaim, TreeRank
from sycamore_core.settings import (
    EndpointSettings,
    FleetSettings,
    resolve_tree,
)
from sycamore_core.states import EndpointPhase
from sycamore_core.transport import Node, NodeAddress, Peer
from sycamore_entry.fleet import EndpointLinks, LinkListener

KEYS = PeerKeys({KeyId('k'): b'k' * 16}, KeyId('k'))
ZONE = ZoneId('a')
MODELS = tuple(f'model-{number}' for number in range(6))
REQUEST = RequestId('k1~'.ljust(100, 'x'))
MEASURE_SECONDS = 8.0
FIRST_PORT = 7000
SETTLE_SECONDS = 7.0
CLAIM = SettingsClaim(TreeRank(SettingsVersion(1), 0))
_PAGE = os.sysconf('SC_PAGE_SIZE')
_KIB = 1024

app = typer.Typer(no_args_is_help=True)


def resident_kib() -> int:
    """Return the resident memory of this process, in KiB."""
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * _PAGE // _KIB


def free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        return [_bound_port(probe) for probe in probes]


def _bound_port(probe: socket.socket) -> int:
    probe.bind(('127.0.0.1', 0))
    return probe.getsockname()[1]


def make_node(name: str, port: int) -> Node:
    """Return a node on loopback."""
    address = f'tcp://127.0.0.1:{port}'
    codec = PacketCodec(KEYS, PeerId(name), Incarnation(1), address)
    return Node(NodeAddress(address, address), codec, SystemClock())


class Reporter:
    """Answers heartbeats as an endpoint process does."""

    def __init__(self, name: str) -> None:
        self.report = LoadReport(
            endpoint=EndpointId(name),
            service=ServiceId('chat'),
            zone=ZONE,
            incarnation=Incarnation(1),
            phase=EndpointPhase.LIVE,
            settings_version=1,
            free_tokens=300_000,
            capacity_tokens=400_000,
            running=12,
            waiting=2,
            backlog_tokens=40_000,
            service_rate=20_000,
            step_seconds=0.03,
            cached_blocks=tuple(range(1 << 50, (1 << 50) + 8)),
        )

    async def serve(self, peer: Peer) -> None:
        """Answer each heartbeat with a report."""
        while True:
            if isinstance(await peer.inbound.get(), Heartbeat):
                peer.post(self.report, urgent=False)


class Ignored(LinkListener):
    """Takes the events of the links and does nothing."""

    def endpoint_reported(self, view: EndpointView) -> None:
        """Do nothing."""

    def endpoint_lost(self, endpoint: EndpointId, *, restarted: bool) -> None:
        """Do nothing."""

    def endpoint_retired(self, endpoint: EndpointId) -> None:
        """Do nothing."""

    def is_in_use(self, endpoint: EndpointId) -> bool:
        """Return that nothing is in progress."""
        return False


async def answer_heartbeats(ports: Sequence[int]) -> None:
    """Run one reporting node on each port until ended."""
    for port in ports:
        node = make_node(f'model-{port}', port)
        node.serve_peer = Reporter(f'model-{port}').serve
        node.start()
    await asyncio.Event().wait()


def run_reporters(ports: Sequence[int]) -> None:
    """Run the reporters in a process of their own."""
    asyncio.run(answer_heartbeats(ports))


def fleet_on(ports: Sequence[int]) -> FleetSettings:
    """Return settings with one service for each port, so that all are used."""
    return FleetSettings(
        version=SettingsVersion(1),
        name='capacity',
        endpoints={
            EndpointId(f'model-{port}'): EndpointSettings(
                endpoint=EndpointId(f'model-{port}'),
                service=ServiceId(f'chat-{port}'),
                zone=ZONE,
                address=f'tcp://127.0.0.1:{port}',
            )
            for port in ports
        },
    )


async def keep_links(ports: Sequence[int]) -> str:
    """Exchange heartbeats with reporters and return one row."""
    node = make_node('entry', free_ports(1)[0])
    links = EndpointLinks(
        EntryId('entry'),
        ZONE,
        SystemClock(),
        Ignored(),
        lambda: CLAIM,
    )
    node.serve_peer = ReportReader(links).serve
    node.start()
    links.update(fleet_on(ports), node)
    beating = asyncio.create_task(links.run())
    await asyncio.sleep(SETTLE_SECONDS)
    heard = sum(link.is_reporting for link in links.links.values())
    processor = time.process_time()
    octets = node.counts.sent_bytes + node.counts.received_bytes
    await asyncio.sleep(MEASURE_SECONDS)
    spent = time.process_time() - processor
    moved = node.counts.sent_bytes + node.counts.received_bytes - octets
    beating.cancel()
    await node.close()
    core = round(spent / MEASURE_SECONDS * 100, 2)
    rate = round(moved / MEASURE_SECONDS / 1000, 2)
    return f'{len(ports)} links ({heard} heard): {core} % core, {rate} KB/s'


class ReportReader:
    """Hands load reports to the links."""

    def __init__(self, links: EndpointLinks) -> None:
        self.links = links

    async def serve(self, peer: Peer) -> None:
        """Take the reports of one peer."""
        while True:
            message: Message = await peer.inbound.get()
            if isinstance(message, LoadReport):
                self.links.apply_report(message)


@app.command()
def links(sizes: str = '9,18,36,72') -> None:
    """Measure heartbeats: processor time and bytes for each link."""
    spawn = multiprocessing.get_context('spawn')
    for size in sizes.split(','):
        ports = free_ports(int(size))
        reporters = spawn.Process(target=run_reporters, args=(ports,))
        reporters.start()
        try:
            typer.echo(asyncio.run(keep_links(ports)))
        finally:
            reporters.kill()
            reporters.join()


def make_tree(workspaces: int, endpoints: int) -> bytes:
    """Return a published tree of a size."""
    tree = {
        'version': 1,
        'name': 'capacity',
        'regions': {'r': [ZONE]},
        'services': {
            model: {'kind': 'model', 'model': model} for model in MODELS
        },
        'workspaces': {
            f'workspace-{number}': {
                'weight': 1,
                'api_key_hashes': [_hash_of(number)],
                'services': {MODELS[number % 6]: {}, 'model-0': {}},
            }
            for number in range(workspaces)
        },
        'endpoints': {
            f'endpoint-{number}': {
                'service': MODELS[number % 6],
                'zone': ZONE,
                'address': _address_of(number),
                'capacity_tokens': 400_000,
            }
            for number in range(endpoints)
        },
    }
    return msgspec.json.encode(tree)


def _address_of(number: int) -> str:
    port = FIRST_PORT + number
    return f'tcp://10.0.0.1:{port}'


def _hash_of(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()


def measured(body: bytes) -> tuple[float, int]:
    """Return the seconds to check a tree and the KiB that it holds."""
    gc.collect()
    before = resident_kib()
    started = time.process_time()
    fleet = resolve_tree(body)
    seconds = time.process_time() - started
    gc.collect()
    grown = resident_kib() - before
    return (seconds, grown) if fleet.version else (seconds, 0)


@app.command()
def settings(sizes: str = '10,300,1200,2400') -> None:
    """Measure a settings tree: bytes, time to check it, memory held."""
    for size in sizes.split(','):
        endpoints = max(46, int(size) * 770 // 2400)
        body = make_tree(int(size), endpoints)
        seconds, grown = measured(body)
        spent = round(seconds * 1000)
        typer.echo(
            f'{size} workspaces, {endpoints} endpoints: {len(body)} bytes, '
            f'{spent} ms to check, {grown} KiB held',
        )


@app.command()
def packets(sizes: str = '1,8,32,128') -> None:
    """Measure the codec: processor time of a packet by frames in it."""
    codec = PacketCodec(KEYS, PeerId('p'), Incarnation(1), 'tcp://127.0.0.1:1')
    rounds = 2000
    for size in sizes.split(','):
        frames = [make_frame(number) for number in range(int(size))]
        started = time.process_time()
        for _ in range(rounds):
            encoded = codec.encode(frames, 0)
        wrote = time.process_time()
        for _ in range(rounds):
            codec.decode(encoded)
        read = time.process_time()
        write_each = round((wrote - started) / rounds * 1e6, 1)
        read_each = round((read - wrote) / rounds * 1e6, 1)
        typer.echo(
            f'{size} frames, {len(encoded)} bytes: '
            f'{write_each} us to write, {read_each} us to read',
        )


def make_frame(number: int) -> Frame:
    """Return a frame of one token."""
    return Frame(REQUEST, Attempt(1), FrameNumber(number), b'token ', 1)


if __name__ == '__main__':
    app()
