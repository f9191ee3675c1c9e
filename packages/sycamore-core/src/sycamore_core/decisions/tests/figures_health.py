"""Prints the figures of docs/decisions/slow-endpoints.md.

Run ``python -m sycamore_core.decisions.tests.figures_health``. Each line:
load, number of faulty endpoints of ten and their fault, with or without health
checks; then the share of callers answered within a second during the 40 s of
the fault, the 40 s after it, and later. Means of three seeds.
"""

import itertools
import statistics
import sys

from .builders_health import Fault, HealthModel

SIZE = 10
BEGINS, ENDS, LAST = 20, 60, 160
PERIODS = ((BEGINS, ENDS), (ENDS, 100), (100, LAST))


def main():
    cases = itertools.product(
        (0.3, 0.6, 0.8),
        Fault,
        (1, 3, 5),
        (False, True),
    )
    for load, fault, faulty, uses_health in cases:
        faults = dict.fromkeys(range(faulty), fault)
        runs = [measure(faults, load, uses_health, seed) for seed in (1, 2, 3)]
        figures = [statistics.mean(each) for each in zip(*runs)]
        shown = ' '.join(str(round(each, 3)) for each in figures)
        name = 'health' if uses_health else 'none'
        sys.stdout.write(f'{load}, {faulty} {fault.value}, {name}: {shown}\n')


def measure(faults, load, uses_health, seed):
    model = HealthModel(SIZE, faults, BEGINS, ENDS, uses_health=uses_health)
    model.run(load, LAST, seed)
    return [model.answered(*period, within=1) for period in PERIODS]


if __name__ == '__main__':
    main()
