"""Another entry, as this one knows it."""

import enum

import msgspec

from ..ids import PeerId, ZoneId


class MemberState(enum.Enum):
    """What is believed of an entry."""

    #: Others have named it; it has not been heard.
    NAMED = 'named'
    LIVING = 'living'
    #: Nothing was heard of it for too long: it is gone, or cut off.
    LOST = 'lost'


class Member(msgspec.Struct, kw_only=True):
    """Another entry, by the address at which it listens.

    Attributes
    ----------
    name
        What it calls itself; empty until it was heard.
    heard_at
        When it was heard last, or named by its own cell, on the monotonic
        clock; when it was first named, if neither ever happened.
    """

    address: str
    zone: ZoneId
    heard_at: float
    name: PeerId = PeerId('')
    state: MemberState = MemberState.NAMED

    @property
    def is_living(self) -> bool:
        """Whether it can be counted on."""
        return self.state is MemberState.LIVING

    @property
    def is_lost(self) -> bool:
        """Whether it is not worth a try."""
        return self.state is MemberState.LOST
