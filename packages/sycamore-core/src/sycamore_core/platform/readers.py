"""Which processes of a zone read the platform's settings service.

Load pattern: every process wants each new settings tree at once, and the
service bears about two thousand reads a second from the whole fleet, a
waiting watch counted as one; that limit grows more slowly than the fleet.

Without this: each of more than a thousand processes keeps a watch and reads
each new version, all at the same moment, and again all together whenever the
service comes back after an outage.

With it, a few processes of each zone read, and the rest hear from them by the
heartbeats. Each process decides alone: it ranks the processes of its zone by
a hash of their names, and reads if it is among the first ones. Whoever has
heard no confirmation for a while counts the first ones as dead, and lets
twice as many read with every further step, itself among them sooner or later.
"""

import hashlib
from collections.abc import Iterable

from ..ids import ZoneId

#: Readers of a zone. Two would do; with eight the zones of today (about nine
#: processes each) are read by almost every process, so that a version is in
#: force everywhere after one read, and eight zones of the target together
#: keep 64 watches, which at one read in five seconds is 13 reads a second.
READERS_IN_ZONE = 8
#: A view confirmed this lately needs no further reader, in seconds. Readers
#: confirm theirs every 5 s and heartbeats come every second, so this is passed
#: only after two rounds were lost.
CONFIRMED_SECONDS = 12.0
#: Twice as many processes read after every such step, in seconds; 140
#: processes of a zone are reached after five steps, while the service sees
#: the readers double and not all come at once.
STEP_SECONDS = 3.0
#: Thirty steps; by then every process of any zone reads.
_LONGEST_OVERDUE = 90.0


def rank_in_zone(process: str, zone: ZoneId, names: Iterable[str]) -> int:
    """Return the position of a process among those of its zone, from 0.

    Parameters
    ----------
    names
        Processes of the zone that are known; `process` may be among them.
    """
    others = {name for name in names if name != process}
    own = _score(zone, process)
    return sum(_score(zone, name) < own for name in others)


def is_reader(rank: int, age_seconds: float) -> bool:
    """Tell whether a process reads the settings service now.

    Parameters
    ----------
    rank
        Its position among the processes of its zone, from 0.
    age_seconds
        Time since its view was confirmed last, by the platform or through a
        peer.

    Examples
    --------
    >>> is_reader(0, 0), is_reader(8, 0), is_reader(8, 60)
    (True, False, True)
    """
    overdue = age_seconds - CONFIRMED_SECONDS
    if overdue < 0:
        return rank < READERS_IN_ZONE
    # An infinite age, of a view that was never confirmed, has no quotient.
    steps = 1 + int(min(overdue, _LONGEST_OVERDUE) // STEP_SECONDS)
    return rank < READERS_IN_ZONE << steps


def _score(zone: ZoneId, process: str) -> bytes:
    return hashlib.sha256(f'{zone}/{process}'.encode()).digest()
