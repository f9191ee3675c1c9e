"""Whether an entry knows enough of the fleet to grant trials.

Load pattern: the entries of a fleet are restarted one after the other, one
every second, while callers repeat a harmless request whose quarantine is over.

A trial must not be repeated because the entry that grants it does not know of
the first one. An entry may have missed trials while it was suspended, before it
started, or while it received reports from half of the entries or fewer, as only
more than half of them can grant trials. It then waits until all peers have
reported. A peer that joins may come from another part of a partitioned fleet
that has lasted so long that both parts have forgotten each other. The entry
waits for the reports of this peer alone.

Without this distinction, each peer that joins starts the wait again. No trial
is granted while a fleet is restarted, and the harmless request is refused on
sound endpoints for minutes.
"""

import math

from .trials import TrialDenial

#: Time in which an entry receives the reports of all its peers, in seconds.
REPORTING_SECONDS = 3.0
#: Time without a sign that the process runs after which it counts as having
#: been suspended, in seconds.
_SUSPENSION_SECONDS = 1.0
#: An entry grants trials only if it receives reports from more than this
#: fraction of all entries, including itself.
_QUORUM_FRACTION = 0.5


class TrialReadiness:
    """What one entry knows of its own interruptions and of joining peers.

    Attributes
    ----------
    complete_since
        Since when the entry has run without interruption, with reports from
        enough entries, on the monotonic clock, in seconds.
    joined
        When peers have joined whose reports are not complete yet, by address.

    Examples
    --------
    >>> readiness = TrialReadiness()
    >>> for now in range(5):
    ...     readiness.record_running(now, reporting_fraction=1)
    >>> readiness.record_peer_joined('tcp://b1', now=4)
    >>> readiness.denial(now=4).value
    'peer_joined'
    >>> readiness.record_all_reports('tcp://b1')
    >>> readiness.denial(now=4) is None
    True
    """

    def __init__(self) -> None:
        self.complete_since = math.inf
        self.joined: dict[str, float] = {}
        self._last_running_at = -math.inf
        self._has_quorum = False

    def record_running(self, now: float, reporting_fraction: float) -> None:
        """Record that the process runs.

        Parameters
        ----------
        reporting_fraction
            Fraction of all entries from which it receives reports, including
            itself.
        """
        was_suspended = now - self._last_running_at > _SUSPENSION_SECONDS
        had_quorum = self._has_quorum
        self._has_quorum = reporting_fraction > _QUORUM_FRACTION
        if was_suspended or not had_quorum:
            self.complete_since = now
        self._last_running_at = now

    def record_peer_joined(self, address: str, now: float) -> None:
        """Record that a peer has joined, for the first time or again."""
        self.joined[address] = now

    def record_all_reports(self, address: str) -> None:
        """Record that a peer has reported all trials that it knows of."""
        self.joined.pop(address, None)

    def denial(self, now: float) -> TrialDenial | None:
        """Return why the entry grants no trial now; None if it may."""
        if not self._has_quorum:
            return TrialDenial.NO_QUORUM
        if now - self.complete_since < REPORTING_SECONDS:
            return TrialDenial.INTERRUPTED
        self._drop_old_joins(now)
        if self.joined:
            return TrialDenial.PEER_JOINED
        return None

    def _drop_old_joins(self, now: float) -> None:
        """Drop peers that have had the time to report without saying so.

        An older version does not say whether its reports are complete.
        """
        self.joined = {
            address: joined_at
            for address, joined_at in self.joined.items()
            if now - joined_at < REPORTING_SECONDS
        }
