"""Cost of a decision by fair shares, and bytes of a report on usage.

Run ``python benchmarks/share_cost.py``. It prints the median over rounds of
the mean processor time of a call in microseconds. The figures of
docs/decisions/shares.md come from it.
"""

import functools
import itertools
import random
import statistics
import time
from collections.abc import Callable, Iterator

from sycamore_core.decisions.shares import (
    MAX_REPORTED_WORKSPACES,
    AttemptWork,
    WorkspaceShares,
)
from sycamore_core.ids import EntryId, PeerId, WorkspaceId, ZoneId
from sycamore_core.messages import LoadUpdate, compress, encode_message
from sycamore_core.routing import WorkspaceUsage

WORKSPACES = (24, 500, 2400)
PEERS = 40
CALLS = 2000
ROUNDS = 5
#: Rate of the decisions, per second, in the figure that includes the
#: computation of the shares.
DECISIONS_PER_S = 200
MICROSECONDS = 1e6
WORK = AttemptWork(
    read_ms=30, expected_ms=60, decode_ms_per_s=150, memory_tokens=5400
)


def main() -> None:
    """Print all figures."""
    for size in WORKSPACES:
        shares = build_shares(size)
        figures = {
            'position': microseconds(functools.partial(decide, shares, size)),
            'with shares': microseconds(
                functools.partial(
                    decide_and_refresh,
                    shares,
                    enumerate(itertools.cycle(workspaces(size))),
                )
            ),
            'one attempt': microseconds(
                functools.partial(attempt, shares, size)
            ),
            'all shares': microseconds(shares.refresh, CALLS // 100),
        }
        for name, mean in figures.items():
            print(name.ljust(12), size, 'workspaces:', round(mean, 1), 'us')
    print('bytes of a report of', MAX_REPORTED_WORKSPACES, report_bytes())


def build_shares(size: int) -> WorkspaceShares:
    """Return shares with usage through this entry and through peers."""
    source = random.Random(1)
    shares = WorkspaceShares()
    names = workspaces(size)
    for name in names:
        shares.begin(name, WORK, 0)
        shares.begin_wait(name, WORK, 0)
    for number in range(PEERS):
        shares.peers.apply(PeerId(f'entry-{number}'), report(source, names), 0)
    shares.refresh(0)
    return shares


def workspaces(size: int) -> list[WorkspaceId]:
    """Return names of workspaces."""
    return [WorkspaceId(f'workspace-{number}') for number in range(size)]


def report(
    source: random.Random, names: list[WorkspaceId]
) -> tuple[WorkspaceUsage, ...]:
    """Return the report of a peer about some workspaces."""
    chosen = source.sample(names, min(len(names), MAX_REPORTED_WORKSPACES))
    return tuple(usage(source, name) for name in chosen)


def usage(source: random.Random, name: WorkspaceId) -> WorkspaceUsage:
    """Return a usage of ordinary size."""
    return WorkspaceUsage(
        name,
        source.randrange(5000),
        source.randrange(500_000),
        source.randrange(9),
    )


def decide(shares: WorkspaceShares, size: int, number: int) -> None:
    """Compute one position shortly after the shares were computed."""
    name = WorkspaceId(f'workspace-{number % size}')
    shares.position(name, number / CALLS / 2)


def decide_and_refresh(
    shares: WorkspaceShares, names: Iterator[tuple[int, WorkspaceId]], _: int
) -> None:
    """Compute one position at a rate at which the shares become old."""
    number, name = next(names)
    now = number / DECISIONS_PER_S
    shares.refresh_if_due(now)
    shares.position(name, now)


def attempt(shares: WorkspaceShares, size: int, number: int) -> None:
    """Meter one attempt from its wait to its end."""
    name = WorkspaceId(f'workspace-{number % size}')
    now = 10 + number / CALLS
    shares.begin_wait(name, WORK, now)
    shares.end_wait(name, WORK, now, is_served=True)
    running = shares.begin(name, WORK, now)
    running.record_first_event(now)
    running.end(now)


def report_bytes() -> tuple[int, int]:
    """Return the bytes of a report, as encoded and as compressed."""
    usages = report(random.Random(2), workspaces(2400))
    update = LoadUpdate(
        EntryId('e'), ZoneId('z'), 1, is_full=True, usage=usages
    )
    compressed = compress(update)
    return len(encode_message(update)), len(encode_message(compressed))


def microseconds(call: Callable[[int], object], calls: int = CALLS) -> float:
    """Return the median over rounds of the mean time of a call."""
    means = []
    for _ in range(ROUNDS):
        start = time.process_time()
        for number in range(calls):
            call(number)
        means.append((time.process_time() - start) / calls)
    return statistics.median(means) * MICROSECONDS


if __name__ == '__main__':
    main()
