"""The lifetimes that have ended, and what peers are told of them.

Load pattern: an entry loses the paths to all endpoints of another zone for some
seconds, while all other entries go on using them.

Without a bound on the reports, that entry would end the attempts of all other
entries. An end is final, so reports may be lost, repeated or out of order.
"""

from collections import deque

from ...routing import EndpointLifetime
from ..direct.failures import MAX_REPORTED
from .evidence import EndEvidence, LifetimeEnd

#: How long peers are sent an end, in seconds. A peer may lose three full
#: updates in a row.
REPORT_SECONDS = 4.0
#: Number of ends in one message, of 23 bytes each. A full update may grow by
#: 15 % in all; while a whole zone ends, messages take turns.
MAX_PER_MESSAGE = 12
#: Number of ends that are remembered. Fewer endpoints end within the minutes in
#: which attempts at them, or reports on them, may still be in progress.
MAX_REMEMBERED_ENDS = 2000


class EndedLifetimes:
    """Bounded memory of the ends of lifetimes.

    Examples
    --------
    >>> ended = EndedLifetimes()
    >>> lifetime = EndpointLifetime('e1', 5)
    >>> ended.record(LifetimeEnd(lifetime, EndEvidence.OTHER_INSTANCE), now=10)
    True
    >>> ended.to_report(now=12, is_isolated=False)
    (EndpointLifetime(endpoint='e1', started_ms=5),)
    >>> ended.to_report(now=15, is_isolated=False)
    ()
    """

    def __init__(self) -> None:
        self._known: dict[EndpointLifetime, EndEvidence] = {}
        self._recent: deque[tuple[float, EndpointLifetime]] = deque(
            maxlen=MAX_REMEMBERED_ENDS,
        )

    def __contains__(self, lifetime: object) -> bool:
        return lifetime in self._known

    def __len__(self) -> int:
        return len(self._known)

    def record(self, end: LifetimeEnd, now: float) -> bool:
        """Record an end; return whether it, or its certainty, is new."""
        known = self._known.get(end.lifetime)
        if known is not None and (
            known.is_certain or not end.evidence.is_certain
        ):
            return False
        self._known[end.lifetime] = end.evidence
        self._recent.append((now, end.lifetime))
        if len(self._known) > MAX_REMEMBERED_ENDS:
            self._known.pop(next(iter(self._known)))
        return True

    def forget_uncertain(self, lifetime: EndpointLifetime) -> None:
        """Forget an end that the endpoint has disproved by its activity.

        Without this, its true end later would not be new, and attempts would
        wait for it.
        """
        evidence = self._known.get(lifetime)
        if evidence is not None and not evidence.is_certain:
            self._known.pop(lifetime)

    def is_certain(self, lifetime: EndpointLifetime) -> bool:
        """Return whether a lifetime has ended and cannot be used again."""
        evidence = self._known.get(lifetime)
        return evidence is not None and evidence.is_certain

    def to_report(
        self,
        now: float,
        *,
        is_isolated: bool,
    ) -> tuple[EndpointLifetime, ...]:
        """Return the ends to report to peers, at most `MAX_PER_MESSAGE`.

        Parameters
        ----------
        is_isolated
            Whether this entry is separated from the fleet. It then reports no
            ends that it concludes from silence, and neither does an entry for
            which more than `MAX_REPORTED` endpoints are silent.
        """
        while self._recent and now - self._recent[0][0] >= REPORT_SECONDS:
            self._recent.popleft()
        recent = dict.fromkeys(
            lifetime for _, lifetime in self._recent if lifetime in self._known
        )
        silent = {one for one in recent if self._is_silence(one)}
        if is_isolated or len(silent) > MAX_REPORTED:
            return _turn([one for one in recent if one not in silent], now)
        return _turn(list(recent), now)

    def _is_silence(self, lifetime: EndpointLifetime) -> bool:
        evidence = self._known.get(lifetime)
        return evidence is not None and evidence.is_silence


def _turn(
    lifetimes: list[EndpointLifetime],
    now: float,
) -> tuple[EndpointLifetime, ...]:
    """Return the lifetimes whose turn it is in this second."""
    if len(lifetimes) <= MAX_PER_MESSAGE:
        return tuple(lifetimes)
    begin = int(now) * MAX_PER_MESSAGE % len(lifetimes)
    turned = lifetimes[begin:] + lifetimes[:begin]
    return tuple(turned[:MAX_PER_MESSAGE])
