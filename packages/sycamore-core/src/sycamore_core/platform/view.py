"""The settings in force in a process, and how lately they were confirmed."""

import math

from ..ids import SettingsVersion
from ..messages import SettingsBody, SettingsWanted
from ..states import SettingsVerdict
from .accepted import NOTHING_HELD, AcceptedSettings, TreeRank
from .bodies import NO_SETTINGS, pack
from .claims import SettingsClaim
from .sources import PublishedSettings

#: Added to the age that a peer claims, in seconds. The time that its packet
#: was on its way is not in the claim; without this, two peers that confirm
#: each other would count that time as fresh and never grow old.
HOP_SECONDS = 1.0


class SettingsView:
    """What one process holds and what it knows of the platform.

    A view is confirmed when the platform is known to have nothing newer than
    what is in force. The platform's silence about newer versions counts only
    if it has itself shown the tree in force (or a newer one that is refused
    as invalid): a service that serves an old copy is silent as well.

    Attributes
    ----------
    accepted
        Holds the settings in force.
    platform_rank
        Tree that the platform has shown last.
    confirmed_at
        Monotonic time of the last confirmation, in seconds.
    """

    def __init__(self) -> None:
        self.accepted = AcceptedSettings()
        self.platform_rank = NOTHING_HELD
        self.confirmed_at = -math.inf
        self._packed = NO_SETTINGS
        self._packed_rank = NOTHING_HELD

    @property
    def body(self) -> SettingsBody:
        """Return the tree in force as a message; version 0 for none yet."""
        published = self.accepted.published
        if published is None:
            return NO_SETTINGS
        if self._packed_rank != self.accepted.rank:
            # Many peers ask for one version; it is compressed once.
            self._packed = pack(published)
            self._packed_rank = self.accepted.rank
        return self._packed

    @property
    def highest_seen(self) -> SettingsVersion:
        """Return the highest version in force or shown by the platform."""
        return max(self.accepted.rank, self.platform_rank).version

    def claim(self, now: float) -> SettingsClaim:
        """Return what to tell the peers."""
        age = now - self.confirmed_at
        return SettingsClaim(self.accepted.rank, -1 if math.isinf(age) else age)

    def hear(self, claim: SettingsClaim, now: float) -> SettingsWanted | None:
        """Take a peer's claim; return the question to send it, if any.

        A claim about the tree in force confirms it as of the claimed age.
        """
        if claim.rank > self.accepted.rank:
            return SettingsWanted(above=claim.rank.version - 1)
        if claim.rank == self.accepted.rank and claim.age >= 0:
            self._confirm(now - claim.age - HOP_SECONDS)
        return None

    def answer(self, wanted: SettingsWanted) -> SettingsBody | None:
        """Return the answer to a peer's question, if there is one.

        A peer that holds nothing yet is answered in any case, so that it
        need not wait for an answer that will not come.
        """
        if self.accepted.version > wanted.above or wanted.above <= 0:
            return self.body
        return None

    def take_from_platform(
        self,
        published: PublishedSettings,
        asked_at: float,
    ) -> SettingsVerdict:
        """Take a tree that the platform returned to a read."""
        self.platform_rank = TreeRank.from_published(published)
        verdict = self.accepted.offer(published)
        self.unchanged(asked_at)
        return verdict

    def unchanged(self, at: float) -> None:
        """Note that the platform had nothing newer at that time."""
        refused = self.accepted.refused
        known = {self.accepted.rank}
        if refused is not None:
            known.add(refused.rank)
        if self.platform_rank in known:
            self._confirm(at)

    def platform_is_behind(self) -> None:
        """Note that the platform does not show the tree in force."""
        self.platform_rank = NOTHING_HELD

    def _confirm(self, at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, at)
