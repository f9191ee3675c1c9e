"""Whether the entries that own answers are still there."""

from collections.abc import Iterable

from .records import Owner

#: An entry not heard of for this long is silent, in seconds. It sends a
#: heartbeat every second, so three or four were lost in a row.
ENTRY_LEASE_SECONDS = 4.0
#: How long the runs of a silent entry are kept for another one to attach to,
#: in seconds. A caller notices a broken connection at once and comes back
#: through the balancer within a few seconds.
ORPHAN_GRACE_SECONDS = 10.0
#: A longer gap between two looks means that this process itself was paused,
#: in seconds; it looks four times a second.
PAUSE_SECONDS = 1.0


class OwnerLeases:
    """When each owner was heard last, by time in which we could have heard.

    What goes wrong without this care: this process is paused for a minute,
    wakes, finds that no entry was heard of for a minute, and cancels the runs
    of all of them. Callers would see answers cut although nothing but this
    process was late. The time of our own pause therefore does not count.

    Examples
    --------
    >>> leases = OwnerLeases()
    >>> owner = Owner('tcp://127.0.0.1:1', 1)
    >>> leases.hear(owner, now=0)
    >>> leases.tick(now=0.5)
    >>> leases.is_gone(owner, now=20)
    True
    """

    def __init__(self) -> None:
        self.heard_at: dict[Owner, float] = {}
        self.ticked_at: float | None = None

    def hear(self, owner: Owner, now: float) -> None:
        """Note a sign of life."""
        self.heard_at[owner] = now

    def tick(self, now: float) -> None:
        """Look at the clock; put off all leases by the length of a pause."""
        last = now if self.ticked_at is None else self.ticked_at
        gap = now - last
        if gap > PAUSE_SECONDS:
            self.heard_at = {
                owner: heard + gap for owner, heard in self.heard_at.items()
            }
        self.ticked_at = now

    def is_gone(self, owner: Owner, now: float) -> bool:
        """Whether the owner was silent for its lease and the grace."""
        heard = self.heard_at.get(owner)
        if heard is None:
            return True
        return now - heard > ENTRY_LEASE_SECONDS + ORPHAN_GRACE_SECONDS

    def forget(self, kept: Iterable[Owner], now: float) -> None:
        """Drop what is silent and owns nothing."""
        needed = frozenset(kept)
        self.heard_at = {
            owner: heard
            for owner, heard in self.heard_at.items()
            if owner in needed or not self.is_gone(owner, now)
        }
