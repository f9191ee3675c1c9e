"""Feedback model of weights and the load that they cause.

The load of an endpoint is the share of the arrivals that its weight attracts,
relative to an even share. Each second, every entry sets its targets to the
inverse of the reported load, which is some seconds old.
"""

from collections import deque

ENDPOINTS = ('a', 'b', 'c', 'd')


class UnlimitedWeights:
    """Weights without a rate limit; the naive baseline."""

    def update(self, targets, now):
        return dict(targets)


def run_feedback(make, lag, gain=3, seconds=120, base=(1.5, 1, 1, 0.5)):
    """Return the loads of all endpoints for each second.

    One endpoint has 1.5 times the usual base load, another endpoint half of it.
    The gain is the exponent with which a target responds to the reported load.
    """
    ramps = [make() for _ in range(3)]
    reported = deque([[1 for _ in ENDPOINTS] for _ in range(lag + 1)])
    history = []
    for now in range(seconds):
        targets = {
            name: min(1, 1 / load**gain)
            for name, load in zip(ENDPOINTS, reported.popleft())
        }
        drawn = [0 for _ in ENDPOINTS]
        for ramp in ramps:
            weights = ramp.update(targets, now)
            total = sum(weights.values())
            for number, name in enumerate(ENDPOINTS):
                drawn[number] += weights[name] / total / len(ramps)
        loads = [
            share * len(ENDPOINTS) * 0.5 + extra * 0.5
            for share, extra in zip(drawn, base)
        ]
        reported.append(loads)
        history.append(loads)
    return history


def load_swing(history, last=30):
    """Return the largest swing of any endpoint's load at the end."""
    columns = zip(*history[-last:])
    return max(max(column) - min(column) for column in columns)
