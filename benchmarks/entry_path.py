"""What the entry and endpoint processes add to a request.

Run ``python benchmarks/entry_path.py first-token``, ``throughput`` or
``large-body``. Each starts a small fleet of real processes on loopback, with
an engine that takes almost no time itself, and prints a table.
"""

import asyncio
import contextlib
import os
import pathlib
import statistics
import tempfile
import time
from collections.abc import AsyncIterator, Sequence

import msgspec
import typer
from sycamore_core.ids import ServiceId, WorkspaceId, ZoneId
from sycamore_core.settings.tree import ServiceNode
from sycamore_core.states import EndpointKind
from sycamore_standins.caller import Ask, Caller
from sycamore_standins.engine import EngineProfile
from sycamore_standins.fleet import (
    EntryPlan,
    Fleet,
    FleetPlan,
    ModelPlan,
    WorkspacePlan,
)
from sycamore_standins.fleet.fleet import running_fleet
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

SERVICE = ServiceId('assistant')
ZONE = ZoneId('a')
FAST = EngineProfile(
    memory_tokens=50_000_000,
    prefill_rate=1e9,
    prefill_chunk_tokens=10_000_000,
    step_base_seconds=0.001,
    step_slope_seconds=0,
    max_sequences=512,
)
MILLISECONDS = 1000
MEBIBYTE = 1024

app = typer.Typer(no_args_is_help=True)


class Usage(msgspec.Struct, frozen=True):
    """Processor time in seconds and memory in KiB of one process."""

    processor: float
    resident: int
    peak: int


def usage_of(pid: int) -> Usage:
    """Return what a process has used so far, from the kernel's own account."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    _, _, after_name = stat.rpartition(')')
    fields = after_name.split()
    ticks = int(fields[11]) + int(fields[12])
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return Usage(
        processor=ticks / os.sysconf('SC_CLK_TCK'),
        resident=kibibytes_of(status, 'VmRSS'),
        peak=kibibytes_of(status, 'VmHWM'),
    )


def kibibytes_of(status: str, field: str) -> int:
    """Return one size of the kernel's account of a process."""
    for line in status.splitlines():
        name, _, size = line.partition(':')
        if name == field:
            return int(size.split()[0])
    return 0


def make_plan(models: int, profile: EngineProfile = FAST) -> FleetPlan:
    """Return a fleet of one entry and some model endpoints."""
    return FleetPlan(
        name='benchmark',
        entries=(EntryPlan(zone=ZONE),),
        models=(ModelPlan(service=SERVICE, zone=ZONE, profile=profile),)
        * models,
        workspaces=(
            WorkspacePlan(
                name=WorkspaceId('w'),
                api_key='benchmark-key',
                services=(SERVICE,),
            ),
        ),
        services={
            SERVICE: ServiceNode(
                kind=EndpointKind.MODEL,
                max_output_tokens=1024,
            ),
        },
    )


@contextlib.asynccontextmanager
async def fleet_of(models: int) -> AsyncIterator[Fleet]:
    """Run a fleet in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet.from_plan(
            make_plan(models),
            pathlib.Path(folder),
            relayed=False,
        )
        async with running_fleet(fleet):
            await asyncio.sleep(2)
            yield fleet


class DirectEngine:
    """Calls the stand-in engine without the system in between."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.client = CurlAsyncHTTPClient(force_instance=True)
        self.number = 0

    async def first_token(self, output_tokens: int) -> float:
        """Return the time to the first token, in seconds."""
        self.number += 1
        body = {
            'request_id': f'direct-{self.number}',
            'prompt_tokens': 10,
            'blocks': [],
            'max_output_tokens': output_tokens,
            'priority': 0,
        }
        seen: list[float] = []
        started = time.monotonic()
        await self.client.fetch(
            HTTPRequest(
                f'{self.url}/v1/generate',
                method='POST',
                body=msgspec.json.encode(body),
                streaming_callback=lambda chunk: seen.append(time.monotonic()),
            ),
        )
        return seen[0] - started


def describe(name: str, seconds: Sequence[float]) -> str:
    """Return one row: median and 95th percentile, in milliseconds."""
    middle = milliseconds(statistics.median(seconds))
    high = milliseconds(statistics.quantiles(seconds, n=20)[-1])
    return f'{name}: median {middle} ms, p95 {high} ms'


def milliseconds(seconds: float) -> float:
    """Return milliseconds, rounded for a table."""
    return round(seconds * MILLISECONDS, 2)


def mebibytes(kibibytes: int) -> float:
    """Return MiB, rounded for a table."""
    return round(kibibytes / MEBIBYTE, 1)


async def measure_first_token(rounds: int) -> None:
    """Compare the time to first token with and without the system."""
    async with fleet_of(1) as fleet:
        direct = DirectEngine(fleet.roster.urls['model-0-engine'])
        without: list[float] = []
        through: list[float] = []
        with fleet.caller() as caller:
            for _ in range(rounds):
                without.append(await direct.first_token(4))
                answer = await caller.ask(
                    Ask(service=SERVICE, max_output_tokens=4),
                )
                through.append(answer.first_token_seconds)
        typer.echo(describe('engine alone', without))
        typer.echo(describe('through the system', through))
        added = [
            both - alone for both, alone in zip(through, without, strict=True)
        ]
        typer.echo(describe('added', added))


async def keep_asking(
    caller: Caller,
    until: float,
    output_tokens: int,
    first: list[float],
) -> int:
    """Ask one request after the other; return how many frames came."""
    frames = 0
    ask = Ask(service=SERVICE, max_output_tokens=output_tokens)
    while time.monotonic() < until:
        answer = await caller.ask(ask)
        if answer.whole:
            first.append(answer.first_token_seconds)
            frames += len(answer.pieces)
    return frames


async def measure_throughput(
    seconds: float,
    callers: int,
    output_tokens: int,
) -> None:
    """Load one entry with callers that ask without a pause."""
    async with fleet_of(3) as fleet:
        names = ('entry-0', 'model-0')
        idle = {name: usage_of(fleet.process(name).pid) for name in names}
        first: list[float] = []
        started = time.monotonic()
        with fleet.caller() as caller:
            frames = sum(
                await asyncio.gather(
                    *(
                        keep_asking(
                            caller,
                            started + seconds,
                            output_tokens,
                            first,
                        )
                        for _ in range(callers)
                    ),
                ),
            )
        elapsed = time.monotonic() - started
        typer.echo(f'{callers} callers, {output_tokens} tokens each')
        requests_each_second = round(len(first) / elapsed, 1)
        frames_each_second = round(frames / elapsed, 1)
        typer.echo(f'{requests_each_second} requests/s')
        typer.echo(f'{frames_each_second} frames/s')
        typer.echo(describe('first token', first))
        for name in names:
            loaded = usage_of(fleet.process(name).pid)
            spent = loaded.processor - idle[name].processor
            busy = round(spent / elapsed, 2)
            before = mebibytes(idle[name].resident)
            now = mebibytes(loaded.resident)
            peak = mebibytes(loaded.peak)
            typer.echo(
                f'{name}: {busy} of a core, {before} MiB idle, '
                f'{now} MiB loaded, peak {peak} MiB',
            )


async def measure_large_body(tokens: int, rounds: int) -> None:
    """Send prompts of a million tokens one after the other."""
    async with fleet_of(1) as fleet:
        names = ('entry-0', 'model-0')
        idle = {name: usage_of(fleet.process(name).pid) for name in names}
        first: list[float] = []
        ask = Ask(
            service=SERVICE,
            tokens=tokens,
            max_output_tokens=4,
            time_limit=300,
        )
        with fleet.caller() as caller:
            for _ in range(rounds):
                answer = await caller.ask(ask)
                first.append(answer.first_token_seconds)
        typer.echo(describe(f'{tokens} tokens', first))
        for name in names:
            after = usage_of(fleet.process(name).pid)
            spent = after.processor - idle[name].processor
            each = milliseconds(spent / rounds)
            grown = mebibytes(after.peak - idle[name].peak)
            typer.echo(f'{name}: {each} ms each, peak grows {grown} MiB')


@app.command()
def first_token(rounds: int = 300) -> None:
    """Compare times to first token, interleaved."""
    asyncio.run(measure_first_token(rounds))


@app.command()
def throughput(
    seconds: float = 10,
    callers: int = 32,
    output_tokens: int = 32,
) -> None:
    """Find what one entry process carries."""
    asyncio.run(measure_throughput(seconds, callers, output_tokens))


@app.command()
def large_body(tokens: int = 1_000_000, rounds: int = 20) -> None:
    """Measure what a prompt of a million tokens costs."""
    asyncio.run(measure_large_body(tokens, rounds))


if __name__ == '__main__':
    app()
