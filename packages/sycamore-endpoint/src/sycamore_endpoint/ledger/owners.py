"""Detection of lost entries that own answers."""

from collections.abc import Iterable

from .records import Owner

#: Time without a message after which an entry counts as silent, in seconds.
#: Entries send a heartbeat every second, so three or four were lost in a row.
ENTRY_SILENCE_TIMEOUT_SECONDS = 4.0
#: How long the runs of a silent entry are kept so that another entry can
#: attach to them, in seconds. A caller detects a broken connection at once and
#: reconnects through the load balancer within a few seconds.
ORPHAN_GRACE_SECONDS = 10.0
#: Gap between two ticks above which this process itself was suspended, in
#: seconds. Ticks normally come four times a second.
MIN_PAUSE_SECONDS = 1.0


class OwnerLeases:
    """Time of the last message of each owner, without own suspensions.

    Time during which this process was suspended does not count as silence of
    an owner. Otherwise a process that resumes after a minute would find that
    no entry sent a message for a minute and would cancel the runs of all
    entries. Callers would see truncated answers although only this process
    was late.

    Examples
    --------
    >>> leases = OwnerLeases()
    >>> owner = Owner('tcp://127.0.0.1:1', 1)
    >>> leases.record_message(owner, now=0)
    >>> leases.tick(now=0.5)
    >>> leases.is_lost(owner, now=20)
    True
    """

    def __init__(self) -> None:
        self.last_received_at: dict[Owner, float] = {}
        self.ticked_at: float | None = None

    def record_message(self, owner: Owner, now: float) -> None:
        """Record that a message from the owner arrived."""
        self.last_received_at[owner] = now

    def tick(self, now: float) -> None:
        """Extend all leases by the length of a suspension, if there was one."""
        last = now if self.ticked_at is None else self.ticked_at
        gap = now - last
        if gap > MIN_PAUSE_SECONDS:
            self.last_received_at = {
                owner: received + gap
                for owner, received in self.last_received_at.items()
            }
        self.ticked_at = now

    def is_lost(self, owner: Owner, now: float) -> bool:
        """Return whether the owner was silent beyond its timeout and grace."""
        received = self.last_received_at.get(owner)
        if received is None:
            return True
        return (
            now - received
            > ENTRY_SILENCE_TIMEOUT_SECONDS + ORPHAN_GRACE_SECONDS
        )

    def prune(self, kept: Iterable[Owner], now: float) -> None:
        """Drop silent owners that are not in `kept`."""
        needed = frozenset(kept)
        self.last_received_at = {
            owner: received
            for owner, received in self.last_received_at.items()
            if owner in needed or not self.is_lost(owner, now)
        }
