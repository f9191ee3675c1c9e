"""Cost of one decision, by number of endpoints and workspaces.

Run ``python benchmarks/decision_cost.py``. It prints the median over rounds
of the mean processor time of a call in microseconds, and the memory of a full
prefix index. The figures of docs/decisions/ come from it.
"""

import functools
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence

import msgspec
from sycamore_core.decisions import FairScheduler
from sycamore_core.decisions.affinity import MAX_INDEX_BLOCKS, PrefixIndex
from sycamore_core.decisions.health import (
    EndpointHealth,
    Observation,
    ObservationKind,
)
from sycamore_core.decisions.placement import PrefixPlacement
from sycamore_core.decisions.pool import CandidatePool
from sycamore_core.decisions.requests import RequestView
from sycamore_core.decisions.scheduler import Draw
from sycamore_core.decisions.tests.builders_placement import (
    build_pool,
    build_prompt,
    build_request,
    build_settings,
)
from sycamore_core.ids import EndpointId, ServiceId, WorkspaceId, ZoneId
from sycamore_core.settings import ServiceSettings, WorkspaceSettings
from sycamore_core.states import Outcome, PromptBand

ENDPOINTS = (10, 100, 770)
WORKSPACES = (10, 2400)
CALLS = 2000
ROUNDS = 5
SHARED_BLOCKS = 8
OWN_BLOCKS = 32
MICROSECONDS = 1e6


def main() -> None:
    """Print all figures."""
    for size in ENDPOINTS:
        for name, mean in costs(size):
            print(name.ljust(26), size, 'endpoints:', round(mean, 1), 'us')
    print('index of', MAX_INDEX_BLOCKS, 'blocks:', index_bytes(), 'bytes')


def costs(size: int) -> Iterator[tuple[str, float]]:
    """Measure each kind of decision among `size` endpoints."""
    source = random.Random(1)
    prompts = build_prompts(source)
    huge = [build_request(band=PromptBand.HUGE, prompt_tokens=200_000)]
    yield 'place, 40 blocks', placing(build_pool(size), prompts)
    yield 'place, no blocks', placing(build_pool(size), [build_request()])
    full = build_pool(size, free_tokens=1)
    yield 'place, all full', placing(full, prompts)
    yield 'place, 200,000 tokens', placing(build_pool(size), huge)
    yield 'report taken', reporting(size)
    yield 'health, observe', observing(size)
    yield 'health, all weights', weighing(size)
    for workspaces in WORKSPACES:
        name = f'schedule, {workspaces} workspaces'
        yield name, scheduling(size, workspaces)


def build_prompts(source: random.Random) -> list[RequestView]:
    """Return prompts that share their first blocks."""
    shared = [source.getrandbits(60) for _ in range(SHARED_BLOCKS)]
    return [
        build_prompt(
            str(number),
            shared + [source.getrandbits(60) for _ in range(OWN_BLOCKS)],
        )
        for number in range(CALLS)
    ]


def placing(pool: CandidatePool, requests: Sequence[RequestView]) -> float:
    """Measure one placement with the note of what is sent."""
    placement = PrefixPlacement.from_settings(build_settings(), ZoneId('z1'))
    placing_one = functools.partial(
        place_one,
        placement,
        pool,
        requests,
        random.Random(2).random,
    )
    return microseconds(placing_one)


def place_one(
    placement: PrefixPlacement,
    pool: CandidatePool,
    requests: Sequence[RequestView],
    draw: Draw,
    number: int,
) -> None:
    """Place a request and note that it is sent; its memory is given back."""
    request = requests[number % len(requests)]
    placed = placement.place(request, pool, 1, draw)
    if placed.endpoint is not None:
        pool.record_send(placed.endpoint, request, placed.new_tokens)
        pool.find(placed.endpoint).sent_tokens = 0


def reporting(size: int) -> float:
    """Measure the taking of one report."""
    pool = build_pool(size)
    views = [candidate.view for candidate in pool]
    return microseconds(lambda number: pool.apply_report(views[number % size]))


def observing(size: int) -> float:
    """Measure one request that is accepted and answered."""
    health = EndpointHealth()
    return microseconds(functools.partial(observe_one, health, size))


def observe_one(health: EndpointHealth, size: int, number: int) -> None:
    """Observe that one request is accepted and answered."""
    endpoint = EndpointId(str(number % size))
    for kind in (ObservationKind.ACCEPTED, ObservationKind.ANSWERED):
        health.observe(endpoint, Observation(kind=kind), number / CALLS)


def weighing(size: int) -> float:
    """Measure the weights of all endpoints."""
    health = EndpointHealth()
    names = [EndpointId(str(number)) for number in range(size)]
    return microseconds(
        lambda number: health.weights(names, number), CALLS // 10
    )


def scheduling(size: int, workspaces: int) -> float:
    """Measure the submitting and dispatching of one request.

    What is sent is accepted, answered and finished before the next one, which
    is not measured.
    """
    names = [WorkspaceId(str(number)) for number in range(workspaces)]
    uses = {ServiceId('s'): ServiceSettings()}
    settings = build_settings(
        workspaces={
            name: WorkspaceSettings(workspace=name, services=uses)
            for name in names
        },
    )
    draw = random.Random(4).random
    scheduler = FairScheduler.from_settings(settings, draw, ZoneId('z1'))
    for candidate in build_pool(size):
        scheduler.update_endpoint(candidate.view, 0)
    prompts = build_prompts(random.Random(5))
    means = []
    for turn in range(ROUNDS):
        spent = [
            schedule_one(
                scheduler,
                msgspec.structs.replace(
                    prompt,
                    request_id=f'{turn}-{number}',
                    workspace=names[number % workspaces],
                    arrival=turn + number / CALLS,
                ),
            )
            for number, prompt in enumerate(prompts)
        ]
        means.append(statistics.mean(spent))
    return statistics.median(means) * MICROSECONDS


def schedule_one(scheduler: FairScheduler, request: RequestView) -> float:
    """Return the seconds that the decisions of a request took."""
    now = request.arrival
    start = time.process_time()
    scheduler.submit(request, now)
    decisions = scheduler.dispatch(now)
    spent = time.process_time() - start
    for decision in decisions:
        scheduler.accepted(decision.request_id, decision.endpoint, now)
        scheduler.first_token(decision.request_id, now)
        scheduler.finished(decision.request_id, Outcome.COMPLETE, now)
    return spent


def index_bytes() -> int:
    """Measure the memory of a full prefix index."""
    source = random.Random(3)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    index = PrefixIndex()
    for number in range(MAX_INDEX_BLOCKS):
        index.record_block(source.getrandbits(60), EndpointId('e'), number)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held


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
