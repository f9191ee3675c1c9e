"""Slopes of the forwarding entry: one decision, and one update of a peer.

Usage: ``python benchmarks/forwarding_capacity.py``; processor time of this
process, median of five rounds.
"""

import statistics
import time
from collections.abc import Callable, Sequence
from functools import partial

import typer
from sycamore_core.decisions.direct import (
    Assignment,
    CellView,
    KnownEngine,
    LoadRegistry,
    ReadRequest,
    plan_in_cells,
)
from sycamore_core.ids import (
    EndpointId,
    EntryId,
    Incarnation,
    KeyId,
    PeerId,
    RequestId,
    ZoneId,
)
from sycamore_core.messages import LoadUpdate, PacketCodec, PeerKeys
from sycamore_core.routing import (
    EngineCosts,
    EngineLoad,
    EngineShare,
    PauseObjective,
)

COSTS = EngineCosts(
    slots=6,
    memory_tokens=267_750,
    step_ms=0.85,
    writer_ms=0.0085,
    context_ms=0.00285,
    read_tokens_per_ms=177,
    pair_ms=0.184,
    pass_steps=57,
)
TURN = ReadRequest(
    prompt_tokens=5000,
    answer_tokens=1800,
    objective_ms=300,
    pause_ms=250,
)
LONG = ReadRequest(
    prompt_tokens=220_000,
    answer_tokens=900,
    objective_ms=4000,
    pause_ms=1000,
)
PROMISE = PauseObjective(pause_ms=250, weight=1)
#: Engines of fleets that are one cell, and of those with several zones.
ONE_CELL = (20, 60, 200, 770)
IN_CELLS = (200, 770)
ZONES = (5, 8)
ROUNDS = 5
CALLS = 40
_MICRO = 1_000_000


def microseconds(work: Callable[[], object]) -> float:
    """Return the processor time of one call, median of some rounds."""
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(CALLS):
            work()
        times.append((time.process_time() - began) / CALLS)
    return statistics.median(times) * _MICRO


def book_of(engines: int) -> LoadRegistry:
    """Return a book with a stream at every third engine."""
    book = LoadRegistry()
    for number in range(0, engines, 3):
        assignment = Assignment(read_ms=30, context_tokens=5000, pause_ms=250)
        request = RequestId(f'r{number}')
        book.begin(request, {EndpointId(f'e{number}'): assignment}, now=0)
    return book


def place(
    book: LoadRegistry,
    engines: Sequence[KnownEngine],
    zones: int,
    request: ReadRequest,
) -> None:
    """Decide on one request as the dispatcher does."""
    names = [ZoneId(f'z{number}') for number in range(zones)]
    cells = frozenset(names) if zones > 1 else frozenset()
    view = CellView(zone=names[0], zones=cells)
    plan_in_cells(request, engines, view, book, COSTS, 1)


def update_of(shares: int) -> LoadUpdate:
    """Return an update that names the load at some engines."""
    load = EngineLoad(requests=2, writers=1, pause_objectives=(PROMISE,))
    return LoadUpdate(
        entry=EntryId('entry-1'),
        zone=ZoneId('a'),
        settings_version=3,
        is_full=False,
        shares=tuple(
            EngineShare(EndpointId(f'i-{number:010x}'), load)
            for number in range(shares)
        ),
    )


def main() -> None:
    """Print the table."""
    typer.echo('one decision, microseconds')
    typer.echo('engines  zones      turn      long')
    for engines in ONE_CELL:
        show_decision(engines, 1)
    for engines, zones in zip(IN_CELLS, ZONES, strict=True):
        show_decision(engines, zones)
    secret = PeerKeys({KeyId('k'): b'0123456789abcdef'}, KeyId('k'))
    codec = PacketCodec(secret, PeerId('entry-1'), Incarnation(1), 'tcp://a')
    typer.echo('one update: bytes, microseconds to write, to read and take')
    for shares in (1, 4, 16):
        show_update(codec, shares)


def known_engine(number: int, zones: int) -> KnownEngine:
    """Return one of the engines, which are dealt out to the zones."""
    zone = number % zones
    return KnownEngine(
        endpoint=EndpointId(f'e{number}'),
        zone=ZoneId(f'z{zone}'),
    )


def show_decision(engines: int, zones: int) -> None:
    """Print the row of one size of fleet."""
    book = book_of(engines)
    known = [known_engine(number, zones) for number in range(engines)]
    times = [
        microseconds(partial(place, book, known, zones, request))
        for request in (TURN, LONG)
    ]
    shown = ' '.join(f'{one:9.0f}' for one in times)
    typer.echo(f'{engines:7} {zones:6} {shown}')


def show_update(codec: PacketCodec, shares: int) -> None:
    """Print the row of one size of update."""
    update = update_of(shares)
    packet = codec.encode([update], 1)
    book = LoadRegistry()
    write = microseconds(lambda: codec.encode([update], 1))
    read = microseconds(lambda: take(codec, packet, book))
    times = f'{write:9.1f} {read:9.1f}'
    typer.echo(f'{shares:3} shares {len(packet):6} {times}')


def take(codec: PacketCodec, packet: bytes, book: LoadRegistry) -> None:
    """Read an update and note it."""
    for update in codec.decode(packet).messages:
        if isinstance(update, LoadUpdate):
            book.apply_update(PeerId('p'), update.shares, now=1, is_full=False)


if __name__ == '__main__':
    main()
