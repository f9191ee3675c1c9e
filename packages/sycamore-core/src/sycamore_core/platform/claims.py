"""The state of its settings that a process sends to its peers."""

import msgspec

from ..ids import SettingsVersion
from ..messages import Heartbeat, LoadReport
from .accepted import TreeRank


class SettingsClaim(msgspec.Struct, frozen=True):
    """The tree in force in a process and the age of its view.

    Attributes
    ----------
    rank
        Position of the tree in force.
    age
        Time since the platform confirmed the tree, directly or through
        peers, in seconds; negative if it was never confirmed.
    """

    rank: TreeRank
    age: float = -1

    @classmethod
    def from_message(cls, message: Heartbeat | LoadReport) -> 'SettingsClaim':
        """Return the claim in a heartbeat or load report."""
        rank = TreeRank(
            SettingsVersion(message.settings_version),
            message.settings_digest,
        )
        return cls(rank, message.settings_age)
