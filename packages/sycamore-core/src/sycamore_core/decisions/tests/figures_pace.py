"""Prints the figures of docs/decisions/pace.md.

Run ``python -m sycamore_core.decisions.tests.figures_pace``. Each line: gain,
lag of the reports in seconds; then the swing of an endpoint's load at the end
in parts of an even share, with weights taken at once and paced.
"""

import itertools
import sys

from sycamore_core.decisions.pace import PacedWeights

from .builders_pace import AtOnce, run_swing, swing


def main():
    for gain, lag in itertools.product((1, 3, 6), (1, 2, 3, 5)):
        naive = swing(run_swing(AtOnce, lag, gain))
        paced = swing(run_swing(PacedWeights, lag, gain))
        sys.stdout.write(f'{gain}, {lag}: {naive:.3f} {paced:.3f}\n')


if __name__ == '__main__':
    main()
