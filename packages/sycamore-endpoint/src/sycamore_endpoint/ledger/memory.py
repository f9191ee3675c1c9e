"""The memory of the engine, leased in tokens to runs and spans.

The sum of the leases never exceeds the capacity. A lease ends in two steps:
what it was for is given up, and then the engine confirms that it holds
nothing for it any more. Freeing at the first step would promise memory that
the engine still uses.
"""

import enum
from collections.abc import Iterable, Mapping

import msgspec
from sycamore_core.errors import LedgerError

#: How long after its release a lease is still known to reconciliation, in
#: seconds. A report of the engine that was under way may name it; one takes
#: at most the control time-out of 2 s.
RELEASED_SECONDS = 10.0


class LeaseKind(enum.StrEnum):
    """What memory is leased to."""

    RUN = 'run'
    SPAN = 'span'


class LeaseKey(msgspec.Struct, frozen=True):
    """Holder of a lease: a request id, or a group and its span."""

    kind: LeaseKind
    name: str
    span: int = 0


class MemoryLease(msgspec.Struct):
    """Tokens held by one run or span.

    Attributes
    ----------
    expires_at
        Monotonic time at which the lease is given up by itself, in seconds.
    releasing
        Given up, but not yet confirmed by the engine.
    changed_at
        Monotonic time at which it was taken or given up, in seconds. A report
        asked for before says nothing about it.
    """

    key: LeaseKey
    tokens: int
    expires_at: float
    changed_at: float
    releasing: bool = False


class Reconciliation(msgspec.Struct, frozen=True):
    """What a report of the engine showed.

    Attributes
    ----------
    freed
        Leases that had been given up and are now confirmed as free.
    unknown
        Holders that the engine reports and the ledger does not know; they
        are to be cancelled.
    missing
        Leases in use for which the engine holds nothing.
    """

    freed: tuple[LeaseKey, ...]
    unknown: tuple[LeaseKey, ...]
    missing: tuple[LeaseKey, ...]


class MemoryLedger:
    """Leases of one engine's memory.

    Parameters
    ----------
    capacity_tokens
        Memory of the engine, in tokens.

    Examples
    --------
    >>> ledger = MemoryLedger(100)
    >>> key = LeaseKey(LeaseKind.RUN, 'r')
    >>> ledger.take(key, 80, expires_at=10, now=0)
    True
    >>> ledger.take(LeaseKey(LeaseKind.RUN, 's'), 30, expires_at=10, now=0)
    False
    >>> ledger.free_tokens
    20
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.leases: dict[LeaseKey, MemoryLease] = {}
        self.foreign: dict[LeaseKey, int] = {}
        self.released: dict[LeaseKey, float] = {}

    @property
    def leased_tokens(self) -> int:
        """Sum of all leases, in tokens."""
        return sum(lease.tokens for lease in self.leases.values())

    @property
    def free_tokens(self) -> int:
        """Tokens that can be leased now; never negative."""
        foreign = sum(self.foreign.values())
        return max(0, self.capacity_tokens - self.leased_tokens - foreign)

    def take(
        self,
        key: LeaseKey,
        tokens: int,
        expires_at: float,
        now: float,
    ) -> bool:
        """Lease memory; False if there is too little.

        Raises
        ------
        LedgerError
            If the holder has a lease already, or asks for less than nothing.
        """
        if key in self.leases or tokens < 0:
            raise LedgerError(f'lease of {key}')
        if tokens > self.free_tokens:
            return False
        self.leases[key] = MemoryLease(key, tokens, expires_at, now)
        return True

    def renew(self, key: LeaseKey, expires_at: float) -> bool:
        """Put off the expiry of a lease; False if it is not held."""
        lease = self.leases.get(key)
        if lease is None or lease.releasing:
            return False
        lease.expires_at = max(lease.expires_at, expires_at)
        return True

    def give_up(self, key: LeaseKey, now: float) -> None:
        """End the use of a lease; it is freed once the engine confirms."""
        lease = self.leases.get(key)
        if lease is None or lease.releasing:
            return
        lease.releasing = True
        lease.changed_at = now

    def release(self, key: LeaseKey, now: float) -> None:
        """Free a lease for which the engine certainly holds nothing."""
        if self.leases.pop(key, None) is not None:
            self.released[key] = now

    def expire(self, now: float) -> tuple[LeaseKey, ...]:
        """Give up the leases that are out of time and return them."""
        expired = tuple(
            lease.key
            for lease in self.leases.values()
            if not lease.releasing and lease.expires_at <= now
        )
        for key in expired:
            self.give_up(key, now)
        return expired

    def reconcile(
        self,
        usage: Mapping[LeaseKey, int],
        asked_at: float,
        now: float,
    ) -> Reconciliation:
        """Compare the ledger with what the engine holds.

        Parameters
        ----------
        usage
            Tokens by holder, complete, as the engine reported it.
        asked_at
            Monotonic time at which the report was asked for, in seconds.
        """
        absent = [
            lease
            for lease in self.leases.values()
            if lease.changed_at < asked_at and lease.key not in usage
        ]
        freed = tuple(lease.key for lease in absent if lease.releasing)
        for key in freed:
            self.release(key, now)
        self._forget_released(now)
        self.foreign = dict(self._foreign(usage, asked_at))
        return Reconciliation(
            freed=freed,
            unknown=tuple(self.foreign),
            missing=tuple(lease.key for lease in absent if not lease.releasing),
        )

    def _foreign(
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

    def _forget_released(self, now: float) -> None:
        horizon = now - RELEASED_SECONDS
        self.released = {
            key: at for key, at in self.released.items() if at > horizon
        }
