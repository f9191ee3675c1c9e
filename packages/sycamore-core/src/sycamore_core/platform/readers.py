"""Selection of the processes of a zone that read the settings service.

Load pattern: every process needs each new settings tree at once. The service
supports about two thousand reads a second from the whole fleet, counting a
waiting watch as one read. That limit grows more slowly than the fleet.

Without this, each of more than a thousand processes would keep a watch and
read each new version at the same moment. All of them would read again
together whenever the service returns after an outage.

With this, a few processes of each zone read the service, and the others
receive the settings through heartbeats. Each process decides locally: it ranks
the processes of its zone by a hash of their names and reads if its rank is low
enough. A process whose view has not been confirmed for a while assumes that
the current readers are dead. It then doubles the number of readers at every
further step, until it is a reader itself.
"""

import hashlib
from collections.abc import Iterable

from ..ids import ZoneId

#: Readers per zone. Two are enough for redundancy. With eight, almost every
#: process of a current zone (about nine processes) is a reader, so a version is
#: in force everywhere after one read. The eight zones of the target size keep
#: 64 watches, which at one read per five seconds is 13 reads a second.
READERS_IN_ZONE = 8
#: Age of a view up to which no additional readers are needed, in seconds.
#: Readers confirm their view every 5 s and heartbeats are sent every second, so
#: a view exceeds this age only after two lost rounds.
CONFIRMATION_TIMEOUT_SECONDS = 12.0
#: Time after which the number of readers doubles, in seconds. All 140 processes
#: of a zone are readers after five steps; the doubling prevents them from
#: reading the service all at once.
DOUBLING_SECONDS = 3.0
#: Upper bound of the overdue time, in seconds. After these thirty steps every
#: process of a zone of any size is a reader.
_MAX_OVERDUE_SECONDS = 90.0


def rank_in_zone(process: str, zone: ZoneId, names: Iterable[str]) -> int:
    """Return the position of a process in the order of its zone, from 0.

    Parameters
    ----------
    names
        Known processes of the zone; `process` may be among them.
    """
    others = {name for name in names if name != process}
    own = _hash_in_zone(zone, process)
    return sum(_hash_in_zone(zone, name) < own for name in others)


def is_reader(rank: int, age_seconds: float) -> bool:
    """Return whether a process reads the settings service now.

    Parameters
    ----------
    rank
        Position of the process in the order of its zone, from 0.
    age_seconds
        Time since the platform or a peer last confirmed its view, in seconds.

    Examples
    --------
    >>> is_reader(0, 0), is_reader(8, 0), is_reader(8, 60)
    (True, False, True)
    """
    overdue = age_seconds - CONFIRMATION_TIMEOUT_SECONDS
    if overdue < 0:
        return rank < READERS_IN_ZONE
    # The age of a view that was never confirmed is infinite, which the
    # division below cannot handle.
    steps = 1 + int(min(overdue, _MAX_OVERDUE_SECONDS) // DOUBLING_SECONDS)
    return rank < READERS_IN_ZONE << steps


def _hash_in_zone(zone: ZoneId, process: str) -> bytes:
    return hashlib.sha256(f'{zone}/{process}'.encode()).digest()
