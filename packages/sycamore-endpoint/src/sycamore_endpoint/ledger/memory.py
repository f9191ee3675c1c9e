"""Leases of the engine's memory, in tokens, to runs and spans.

The sum of the leases never exceeds the capacity. A lease ends in two steps:
its run or span is cancelled, and then the engine confirms that it has freed
the memory. Freeing the lease at the first step would lease out memory that
the engine still uses.
"""

import enum
from collections.abc import Iterable, Mapping

import msgspec
from sycamore_core.errors import LedgerError

#: How long the key of a freed lease is remembered for reconciliation, in
#: seconds. An engine report requested before the release may still name the
#: key; a report takes at most the control timeout of 2 s.
RELEASED_KEY_RETENTION_SECONDS = 10.0


class LeaseKind(enum.StrEnum):
    """Kind of lease holder."""

    RUN = 'run'
    SPAN = 'span'


class LeaseKey(msgspec.Struct, frozen=True):
    """Holder of a lease: a request id, or a group id and a span number."""

    kind: LeaseKind
    name: str
    span: int = 0


class MemoryLease(msgspec.Struct):
    """Memory leased to one run or span.

    Attributes
    ----------
    expires_at
        Monotonic time at which the lease expires, in seconds.
    releasing
        Whether the release has begun but the engine has not confirmed it.
    changed_at
        Monotonic time at which the lease was acquired or its release began,
        in seconds. An engine report requested earlier does not reflect it.
    """

    key: LeaseKey
    tokens: int
    expires_at: float
    changed_at: float
    releasing: bool = False


class Reconciliation(msgspec.Struct, frozen=True):
    """Differences between the ledger and a report of the engine.

    Attributes
    ----------
    freed
        Leases in release that the engine has confirmed as free.
    unknown
        Holders that the engine reports and the ledger does not list; they
        are to be cancelled at the engine.
    missing
        Leases in use that the report does not contain.
    """

    freed: tuple[LeaseKey, ...]
    unknown: tuple[LeaseKey, ...]
    missing: tuple[LeaseKey, ...]


class MemoryLedger:
    """Ledger of the leases of one engine's memory.

    Parameters
    ----------
    capacity_tokens
        Memory of the engine, in tokens.

    Examples
    --------
    >>> ledger = MemoryLedger(100)
    >>> key = LeaseKey(LeaseKind.RUN, 'r')
    >>> ledger.acquire(key, 80, expires_at=10, now=0)
    True
    >>> ledger.acquire(LeaseKey(LeaseKind.RUN, 's'), 30, expires_at=10, now=0)
    False
    >>> ledger.free_tokens
    20
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.leases: dict[LeaseKey, MemoryLease] = {}
        self.unknown_usage: dict[LeaseKey, int] = {}
        self.released: dict[LeaseKey, float] = {}

    @property
    def leased_tokens(self) -> int:
        """Sum of all leases, in tokens."""
        return sum(lease.tokens for lease in self.leases.values())

    @property
    def free_tokens(self) -> int:
        """Tokens available to lease now; never negative."""
        unknown = sum(self.unknown_usage.values())
        return max(0, self.capacity_tokens - self.leased_tokens - unknown)

    def acquire(
        self,
        key: LeaseKey,
        tokens: int,
        expires_at: float,
        now: float,
    ) -> bool:
        """Lease memory; return False if too little is free.

        Raises
        ------
        LedgerError
            If the holder already has a lease, or `tokens` is negative.
        """
        if key in self.leases or tokens < 0:
            raise LedgerError(f'duplicate or negative lease of {key}')
        if tokens > self.free_tokens:
            return False
        self.leases[key] = MemoryLease(key, tokens, expires_at, now)
        return True

    def renew(self, key: LeaseKey, expires_at: float) -> bool:
        """Extend a lease; return False if there is none in use."""
        lease = self.leases.get(key)
        if lease is None or lease.releasing:
            return False
        lease.expires_at = max(lease.expires_at, expires_at)
        return True

    def begin_release(self, key: LeaseKey, now: float) -> None:
        """Begin the release of a lease; `reconcile` frees it later."""
        lease = self.leases.get(key)
        if lease is None or lease.releasing:
            return
        lease.releasing = True
        lease.changed_at = now

    def release(self, key: LeaseKey, now: float) -> None:
        """Free a lease whose memory the engine has certainly freed."""
        if self.leases.pop(key, None) is not None:
            self.released[key] = now

    def expire(self, now: float) -> tuple[LeaseKey, ...]:
        """Begin the release of expired leases and return their keys."""
        expired = tuple(
            lease.key
            for lease in self.leases.values()
            if not lease.releasing and lease.expires_at <= now
        )
        for key in expired:
            self.begin_release(key, now)
        return expired

    def reconcile(
        self,
        usage: Mapping[LeaseKey, int],
        asked_at: float,
        now: float,
    ) -> Reconciliation:
        """Compare the ledger with the memory that the engine uses.

        Parameters
        ----------
        usage
            All holders that the engine reported, with their tokens.
        asked_at
            Monotonic time at which the report was requested, in seconds.
        """
        absent = [
            lease
            for lease in self.leases.values()
            if lease.changed_at < asked_at and lease.key not in usage
        ]
        freed = tuple(lease.key for lease in absent if lease.releasing)
        for key in freed:
            self.release(key, now)
        self._prune_released(now)
        self.unknown_usage = dict(self._unknown_holders(usage, asked_at))
        return Reconciliation(
            freed=freed,
            unknown=tuple(self.unknown_usage),
            missing=tuple(lease.key for lease in absent if not lease.releasing),
        )

    def _unknown_holders(
        self,
        usage: Mapping[LeaseKey, int],
        asked_at: float,
    ) -> Iterable[tuple[LeaseKey, int]]:
        for key, tokens in usage.items():
            released_at = self.released.get(key)
            if released_at is not None and released_at >= asked_at:
                continue
            if key not in self.leases:
                yield key, tokens

    def _prune_released(self, now: float) -> None:
        cutoff = now - RELEASED_KEY_RETENTION_SECONDS
        self.released = {
            key: at for key, at in self.released.items() if at > cutoff
        }
