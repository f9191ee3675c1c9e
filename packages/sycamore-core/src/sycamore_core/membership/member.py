"""Record of another entry."""

import enum

import msgspec

from ..ids import PeerId, ZoneId


class MemberState(enum.Enum):
    """Liveness of another entry, as far as it is known."""

    #: Reported by other entries, but not confirmed.
    UNCONFIRMED = 'named'
    ALIVE = 'living'
    #: Silent for longer than the timeout: stopped or disconnected.
    LOST = 'lost'


class Member(msgspec.Struct, kw_only=True):
    """Another entry, identified by the address at which it listens.

    Attributes
    ----------
    name
        Name that the entry reports; empty until a message arrives from it.
    last_seen_at
        Monotonic time of the last message from the entry, or of the last
        confirmation by its own cell, in seconds. Until either happens, the
        time when the entry was first reported.
    """

    address: str
    zone: ZoneId
    last_seen_at: float
    name: PeerId = PeerId('')
    state: MemberState = MemberState.UNCONFIRMED

    @property
    def is_alive(self) -> bool:
        """Whether the entry is known to be alive."""
        return self.state is MemberState.ALIVE

    @property
    def is_lost(self) -> bool:
        """Whether the entry has been silent for too long."""
        return self.state is MemberState.LOST
