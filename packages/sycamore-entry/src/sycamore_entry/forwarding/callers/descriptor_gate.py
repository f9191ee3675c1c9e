"""Refuses connections for which the process has too few descriptors."""

from sycamore_core.decisions.direct.descriptor_limit import DescriptorLimit
from sycamore_core.telemetry import Log
from sycamore_core.telemetry.tallies import Tally

from .descriptors import max_descriptors

#: Reason of a refusal without an answer, before the request is read.
_CLOSED_UNREAD = 'connection_closed_for_descriptors'


class DescriptorGate:
    """Refuses new connections while too few descriptors are left.

    Parameters
    ----------
    refused
        Counts of refused requests, by reason.
    """

    def __init__(
        self, limit: DescriptorLimit, log: Log, refused: Tally
    ) -> None:
        self.limit = limit
        self.log = log
        self.refused = refused
        self._refused_count = 0

    @classmethod
    def from_process(cls, log: Log, refused: Tally) -> 'DescriptorGate':
        """Create a gate for the limit of this process."""
        return cls(DescriptorLimit(max_descriptors()), log, refused)

    def admit(
        self, open_callers: int, peers: int = 0, lingering: int = 0
    ) -> bool:
        """Return whether to accept one more; count and log refusals."""
        was_reached = self.limit.is_reached
        is_admitted = self.limit.admit(open_callers, peers, lingering)
        if not is_admitted:
            self.refused.add(_CLOSED_UNREAD)
            self._refused_count += 1
        if self.limit.is_reached != was_reached:
            self._log_change(open_callers, peers, lingering)
        return is_admitted

    def _log_change(
        self, open_callers: int, peers: int, lingering: int
    ) -> None:
        self.log.warning(
            'callers_limited',
            is_reached=self.limit.is_reached,
            connections=open_callers,
            max_connections=self.limit.max_callers(peers, lingering),
            refused=self._refused_count,
        )
        self._refused_count = 0
