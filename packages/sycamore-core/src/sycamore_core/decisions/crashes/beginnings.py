"""Requests that have begun without a crash, by the parts of their prompts.

Load pattern: a part crashes each engine that begins to answer a prompt with it.
All of these prompts also contain the first part of their route, which thousands
of harmless prompts contain as well.

Without this, the first part is present at each crash and is quarantined with
the cause. A request whose endpoint has gone on after its first output shows
that none of its parts was the cause at that time. Each entry records this for
itself and tells others only of parts that are suspected of a crash.
"""

import math
from collections.abc import Iterable

from ...ids import PartDigest

#: Time since the first output of a request after which it counts as having
#: begun without a crash, in seconds. Endpoints crash within it otherwise.
BEGINNING_SECONDS = 0.25
#: How long before a crash a request may have begun to show that its parts were
#: not the cause, in seconds. A part that was harmless may not stay so.
EVIDENCE_SECONDS = 1.5
#: How long beginnings are stored, in seconds: reports of a crash may be late.
_KEPT_SECONDS = 30.0
#: Upper bound of the stored parts; the oldest are dropped.
MAX_PARTS = 4096


class Beginnings:
    """When a request with each part last began without a crash.

    Examples
    --------
    >>> beginnings = Beginnings()
    >>> beginnings.record((b'part',), began_at=10, now=10.3)
    >>> beginnings.exonerates(b'part', crashed_at=11)
    True
    >>> beginnings.exonerates(b'part', crashed_at=12)
    False
    """

    def __init__(self) -> None:
        self._began_at: dict[PartDigest, float] = {}

    def record(
        self, parts: Iterable[PartDigest], began_at: float, now: float
    ) -> None:
        """Record that a request began; drop what is too old."""
        for part in parts:
            known = self._began_at.pop(part, -math.inf)
            # A part with a new beginning counts as the newest.
            self._began_at[part] = max(known, began_at)
        self._drop_oldest(now)

    def exonerates(self, part: PartDigest, crashed_at: float) -> bool:
        """Return whether a part was not the cause of a crash."""
        return crashed_at <= exonerated_until(
            self._began_at.get(part, -math.inf)
        )

    def has_begun(self, part: PartDigest) -> bool:
        """Return whether a request with a part has begun lately."""
        return part in self._began_at

    def _drop_oldest(self, now: float) -> None:
        while self._began_at:
            oldest = next(iter(self._began_at))
            is_old = now - self._began_at[oldest] > _KEPT_SECONDS
            if not is_old and len(self._began_at) <= MAX_PARTS:
                return
            self._began_at.pop(oldest)


def exonerated_until(began_at: float) -> float:
    """Return the time of the last crash for which a beginning is evidence."""
    return began_at + EVIDENCE_SECONDS
