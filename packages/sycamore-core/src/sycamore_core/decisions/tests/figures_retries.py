"""Prints the figures of docs/decisions/retries.md.

Run ``python -m sycamore_core.decisions.tests.figures_retries``. Each line:
load, policy; then the share of callers answered, by their arrival: before the
outage, at its start, during it, in the ten seconds after it, and later; and
attempts per caller. Means of four seeds.
"""

import random
import statistics
import sys

from .builders_retries import (
    BudgetedRetries,
    ImmediateRetries,
    NoRetries,
    Outage,
    RetryModel,
)

SIZE = 30
OUTAGE = Outage(30, 50, frozenset(range(10)))
PERIODS = ((0, 25), (28, 35), (35, 50), (50, 60), (60, 120))
POLICIES = (
    ('never', lambda seed: NoRetries()),
    ('at once', lambda seed: ImmediateRetries()),
    ('budget', lambda seed: BudgetedRetries(random.Random(seed).random)),
)


def main():
    for load in (0.5, 0.7, 0.75, 0.8, 0.9):
        for name, make in POLICIES:
            runs = [measure(make(seed), seed, load) for seed in range(1, 5)]
            figures = [statistics.mean(each) for each in zip(*runs)]
            shown = ' '.join(str(round(each, 3)) for each in figures)
            sys.stdout.write(f'{load}, {name}: {shown}\n')


def measure(policy, seed, load):
    model = RetryModel(SIZE, policy, OUTAGE, seed)
    model.run(load * SIZE, seconds=120)
    shares = [model.answered_share(*period) for period in PERIODS]
    return *shares, model.attempts / len(model.arrivals)


if __name__ == '__main__':
    main()
