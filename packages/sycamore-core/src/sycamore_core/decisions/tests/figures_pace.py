"""Prints the figures of docs/decisions/pace.md.

Run ``python -m sycamore_core.decisions.tests.figures_pace``. Each line: gain,
lag of the reports in seconds; then the swing of an endpoint's load at the end,
relative to an even share, without and with the rate limit of weights.
"""

import itertools
import sys

from sycamore_core.decisions.weight_ramp import WeightRamp

from .builders_pace import UnlimitedWeights, load_swing, run_feedback


def main():
    for gain, lag in itertools.product((1, 3, 6), (1, 2, 3, 5)):
        naive = load_swing(run_feedback(UnlimitedWeights, lag, gain))
        limited = load_swing(run_feedback(WeightRamp, lag, gain))
        sys.stdout.write(f'{gain}, {lag}: {naive:.3f} {limited:.3f}\n')


if __name__ == '__main__':
    main()
