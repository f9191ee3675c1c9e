"""The settings in force in a process and the time of their confirmation."""

import math

from ..ids import SettingsVersion
from ..messages import SettingsBody, SettingsWanted
from ..states import SettingsVerdict
from .accepted import NO_TREE, AcceptedSettings, TreeRank
from .bodies import NO_SETTINGS, pack_settings
from .claims import SettingsClaim
from .sources import PublishedSettings

#: Added to the age that a peer claims, in seconds. The claim does not include
#: the transit time of its packet. Without this, two peers that confirm each
#: other would ignore the transit time, and their views would never age.
TRANSIT_SECONDS = 1.0


class SettingsView:
    """The settings of one process and its knowledge of the platform.

    A view is confirmed when the platform is known to have no tree newer than
    the one in force. The absence of newer versions counts only if the platform
    has shown the tree in force (or a newer one that was refused as invalid),
    since a service that serves an old copy reports no newer version either.

    Attributes
    ----------
    accepted
        Holds the settings in force.
    platform_rank
        Rank of the tree that the platform showed last.
    confirmed_at
        Monotonic time of the last confirmation, in seconds.
    """

    def __init__(self) -> None:
        self.accepted = AcceptedSettings()
        self.platform_rank = NO_TREE
        self.confirmed_at = -math.inf
        self._cached_body = NO_SETTINGS
        self._cached_rank = NO_TREE

    @property
    def body(self) -> SettingsBody:
        """Return the tree in force as a message; version 0 if there is none."""
        published = self.accepted.published
        if published is None:
            return NO_SETTINGS
        if self._cached_rank != self.accepted.rank:
            # Many peers request the same version, so it is compressed once.
            self._cached_body = pack_settings(published)
            self._cached_rank = self.accepted.rank
        return self._cached_body

    @property
    def highest_seen(self) -> SettingsVersion:
        """Return the highest version in force or shown by the platform."""
        return max(self.accepted.rank, self.platform_rank).version

    def claim(self, now: float) -> SettingsClaim:
        """Return the claim to send to the peers."""
        age = now - self.confirmed_at
        return SettingsClaim(self.accepted.rank, -1 if math.isinf(age) else age)

    def handle_claim(
        self, claim: SettingsClaim, now: float
    ) -> SettingsWanted | None:
        """Handle a peer's claim; return the request to send it, if any.

        A claim about the tree in force confirms it as of the claimed age.
        """
        if claim.rank > self.accepted.rank:
            return SettingsWanted(above=claim.rank.version - 1)
        if claim.rank == self.accepted.rank and claim.age >= 0:
            self._confirm(now - claim.age - TRANSIT_SECONDS)
        return None

    def answer(self, wanted: SettingsWanted) -> SettingsBody | None:
        """Return the answer to a peer's request, if there is one.

        A peer that has no settings yet always gets an answer, so that it
        does not wait in vain.
        """
        if self.accepted.version > wanted.above or wanted.above <= 0:
            return self.body
        return None

    def apply_published(
        self,
        published: PublishedSettings,
        asked_at: float,
    ) -> SettingsVerdict:
        """Apply a tree that the platform returned.

        Parameters
        ----------
        asked_at
            Monotonic time at which the read started, in seconds.
        """
        self.platform_rank = TreeRank.from_published(published)
        verdict = self.accepted.offer(published)
        self.record_unchanged(asked_at)
        return verdict

    def record_unchanged(self, at: float) -> None:
        """Record that the platform had nothing newer at that time."""
        refused = self.accepted.refused
        known = {self.accepted.rank}
        if refused is not None:
            known.add(refused.rank)
        if self.platform_rank in known:
            self._confirm(at)

    def record_platform_behind(self) -> None:
        """Record that the platform does not show the tree in force."""
        self.platform_rank = NO_TREE

    def _confirm(self, at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, at)
