"""Prints the figures of docs/decisions/where.md.

Run ``python -m sycamore_core.decisions.tests.figures_placement``. Each line:
load pattern, load, entries, policy; then p50, p95 and p99 of the time to first
token in seconds, and millions of tokens computed. Means of three seeds.
"""

import random
import statistics
import sys

from sycamore_core.decisions.placement import (
    PrefixPlacement,
    RoundRobinPlacement,
)
from sycamore_core.ids import ZoneId

from .builders_placement import (
    InFlightSpill,
    LeastLoadedPlacement,
    PlacementModel,
    build_conversations,
    build_engines,
    build_settings,
    build_shared_prompts,
    build_unequal_prompts,
    percentile,
)

ENGINES = 20
LAG = 0.5
SEEDS = (1, 2, 3)
PATTERNS = (
    ('conversations', build_conversations, (0.2, 0.4), {}),
    ('hot key 0.9', build_shared_prompts, (0.5, 0.8), {'hot_share': 0.9}),
    ('hot key 0.5', build_shared_prompts, (0.5, 0.8), {'hot_share': 0.5}),
    ('equal, new', build_shared_prompts, (0.5, 0.8), {'hot_share': 0}),
    ('unequal, new', build_unequal_prompts, (0.5, 0.8), {}),
)
POLICIES = (
    ('round robin', lambda _: RoundRobinPlacement()),
    ('least loaded', lambda _: LeastLoadedPlacement()),
    ('in flight', lambda tree: InFlightSpill.from_settings(tree, ZoneId('z1'))),
    ('prefix', lambda tree: PrefixPlacement.from_settings(tree, ZoneId('z1'))),
)


def main():
    for name, build, loads, more in PATTERNS:
        for load in loads:
            for entries in (1, 4, 8):
                for policy, make in POLICIES:
                    runs = [
                        measure(
                            build(seed, load, ENGINES, **more),
                            make,
                            entries,
                            seed,
                        )
                        for seed in SEEDS
                    ]
                    figures = [statistics.mean(each) for each in zip(*runs)]
                    shown = ' '.join(str(round(each, 2)) for each in figures)
                    sys.stdout.write(
                        f'{name}, {load}, {entries}, {policy}: {shown}\n',
                    )


def measure(arrivals, make, entries, seed):
    placements = [make(build_settings()) for _ in range(entries)]
    model = PlacementModel(build_engines(ENGINES), placements, lag=LAG)
    waits = model.run(arrivals, random.Random(seed + 100).random)
    tails = (percentile(waits, share) for share in (0.5, 0.95, 0.99))
    return *tails, model.computed_tokens() / 1e6


if __name__ == '__main__':
    main()
