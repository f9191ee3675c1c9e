"""What a process says of its settings to its peers in heartbeats."""

import msgspec

from ..ids import SettingsVersion
from ..messages import Heartbeat, LoadReport
from .accepted import TreeRank


class SettingsClaim(msgspec.Struct, frozen=True):
    """The tree in force in a process, and how old its view is.

    Attributes
    ----------
    rank
        Position of the tree in force.
    age
        Time since the platform confirmed the tree, in seconds, directly or
        through others; negative if it never did.
    """

    rank: TreeRank
    age: float = -1

    @classmethod
    def from_message(cls, message: Heartbeat | LoadReport) -> 'SettingsClaim':
        """Return what a heartbeat or load report claims."""
        rank = TreeRank(
            SettingsVersion(message.settings_version),
            message.settings_digest,
        )
        return cls(rank, message.settings_age)
