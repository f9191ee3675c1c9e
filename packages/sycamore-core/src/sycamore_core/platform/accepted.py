"""The settings tree in force in one process, which never goes back.

Trees are ordered by version, and trees of one version by a digest of their
content. A process holds the highest valid one that it was ever offered, by the
platform or by a peer, in any order. Since the highest of a set does not depend
on the order in which its members come, all processes that were offered the
same trees hold the same one, also where two operators have published different
trees under one number.

What this cannot promise: a process keeps nothing over a restart. If all
processes that hold a version are gone while the platform serves an older one,
the next ones to start take the older one into force.
"""

import hashlib
import types

import msgspec

from ..errors import SettingsError
from ..ids import SettingsVersion
from ..settings import FleetSettings, resolve_tree
from ..states import SettingsVerdict
from .sources import PublishedSettings

#: Largest value that the platform's settings service holds, in bytes.
MAX_SETTINGS_BYTES = 1_048_576
#: 63 bits fit every integer type on the wire; two trees of one version agree
#: in them by chance once in 2**63 races.
_DIGEST_BYTES = 8
_DIGEST_BITS = 63


def digest_of(body: bytes) -> int:
    """Return the number that orders trees of one version.

    Examples
    --------
    >>> digest_of(b'{}') == digest_of(b'{ }')
    False
    """
    hashed = hashlib.sha256(body).digest()[:_DIGEST_BYTES]
    return int.from_bytes(hashed) % (1 << _DIGEST_BITS)


class TreeRank(msgspec.Struct, frozen=True, order=True):
    """Position of a tree among all; the higher one is in force."""

    version: SettingsVersion
    digest: int

    @classmethod
    def from_published(cls, published: PublishedSettings) -> 'TreeRank':
        """Return the position of a published tree."""
        return cls(published.version, digest_of(published.body))


#: Below every published tree, whose versions start at 1.
NOTHING_HELD = TreeRank(SettingsVersion(0), 0)


#: Verdict on a lower tree, by whether its version is that of the one in force.
_KEPT = types.MappingProxyType(
    {False: SettingsVerdict.OLDER, True: SettingsVerdict.CONFLICT},
)


class RefusedTree(msgspec.Struct, frozen=True):
    """The last tree that could not be used, and why."""

    rank: TreeRank
    reason: str


class AcceptedSettings:
    """Holds the highest valid tree that was offered.

    Attributes
    ----------
    rank, published, fleet
        The tree in force: its position, its bytes and what they resolve to;
        `published` and `fleet` are None before the first one.
    refused
        The last tree that was refused as invalid.

    Examples
    --------
    >>> accepted = AcceptedSettings()
    >>> tree = PublishedSettings(2, b'{version: 2, name: "test"}')
    >>> accepted.offer(tree).value
    'accepted'
    >>> accepted.offer(PublishedSettings(1, b'{version: 1}')).value
    'older'
    """

    def __init__(self) -> None:
        self.rank = NOTHING_HELD
        self.published: PublishedSettings | None = None
        self.fleet: FleetSettings | None = None
        self.refused: RefusedTree | None = None

    @property
    def version(self) -> SettingsVersion:
        """Return the version in force, 0 before the first."""
        return self.rank.version

    def offer(self, published: PublishedSettings) -> SettingsVerdict:
        """Take a tree into force if it is valid and above the one held."""
        rank = TreeRank.from_published(published)
        if rank == self.rank:
            return SettingsVerdict.KNOWN
        if rank < self.rank:
            same_version = rank.version == self.rank.version
            return _KEPT[same_version]
        try:
            fleet = _checked(published)
        except SettingsError as error:
            self.refused = RefusedTree(rank, str(error))
            return SettingsVerdict.INVALID
        self.rank = rank
        self.published = published
        self.fleet = fleet
        return SettingsVerdict.ACCEPTED


def _checked(published: PublishedSettings) -> FleetSettings:
    size = len(published.body)
    if size > MAX_SETTINGS_BYTES:
        raise SettingsError(
            f'{size} bytes; at most {MAX_SETTINGS_BYTES} are accepted',
        )
    fleet = resolve_tree(published.body)
    if fleet.version != published.version:
        # If the two could differ, a peer and the platform would name the same
        # tree by different numbers, and each watch would return it again.
        raise SettingsError(
            f'version: {fleet.version}; {published.version} is accepted, '
            'the number under which the tree is published',
        )
    return fleet
