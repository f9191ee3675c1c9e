"""State of one endpoint process: memory leases, runs and answers."""

from .answers import WINDOW_FRAMES, Answer
from .memory import LeaseKey, LeaseKind, MemoryLease, MemoryLedger
from .owners import OwnerLeases
from .records import Owner, RunRecord
from .runs import RESERVATION_TTL_SECONDS, RunLedger

__all__ = (
    'RESERVATION_TTL_SECONDS',
    'WINDOW_FRAMES',
    'Answer',
    'LeaseKey',
    'LeaseKind',
    'MemoryLease',
    'MemoryLedger',
    'Owner',
    'OwnerLeases',
    'RunLedger',
    'RunRecord',
)
