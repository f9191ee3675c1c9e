"""A model of weights that follow the load which they cause.

The load of an endpoint is the part of the arrivals that its weight draws,
counted in parts of an even share. Each second every entry sets its targets
to the inverse of the load that it sees, which is some seconds old.
"""

from collections import deque

ENDPOINTS = ('a', 'b', 'c', 'd')


class AtOnce:
    """Takes each target at once; the naive baseline."""

    def update(self, targets, now):
        return dict(targets)


def run_swing(make, lag, gain=3, seconds=120, base=(1.5, 1, 1, 0.5)):
    """Return the loads of all endpoints second by second.

    One endpoint has half as much again to do beside, another half as little.
    The gain is how strongly a target answers to the load that is seen.
    """
    paces = [make() for _ in range(3)]
    seen = deque([[1 for _ in ENDPOINTS] for _ in range(lag + 1)])
    history = []
    for now in range(seconds):
        targets = {
            name: min(1, 1 / load**gain)
            for name, load in zip(ENDPOINTS, seen.popleft())
        }
        drawn = [0 for _ in ENDPOINTS]
        for pace in paces:
            weights = pace.update(targets, now)
            total = sum(weights.values())
            for number, name in enumerate(ENDPOINTS):
                drawn[number] += weights[name] / total / len(paces)
        loads = [
            share * len(ENDPOINTS) * 0.5 + extra * 0.5
            for share, extra in zip(drawn, base)
        ]
        seen.append(loads)
        history.append(loads)
    return history


def swing(history, last=30):
    """Return the widest swing of any endpoint's load at the end."""
    columns = zip(*history[-last:])
    return max(max(column) - min(column) for column in columns)
