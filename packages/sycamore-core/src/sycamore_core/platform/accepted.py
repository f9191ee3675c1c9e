"""The settings tree in force in one process, which never reverts.

Trees are ordered by version, and trees of one version by a digest of their
content. A process holds the highest valid tree that the platform or a peer
has offered since the process started. The maximum does not depend on the order
of arrival, so all processes that were offered the same trees hold the same
one, even if two operators have published different trees under one number.

Limitation: a process stores no settings across a restart. If all processes
that hold a version end while the platform serves an older version, processes
that start afterwards accept the older version.
"""

import hashlib
import types

import msgspec

from ..errors import SettingsError
from ..ids import SettingsVersion
from ..settings import FleetSettings, resolve_tree
from ..states import SettingsVerdict
from .sources import PublishedSettings

#: Largest tree that the platform's settings service stores, in bytes.
MAX_SETTINGS_BYTES = 1_048_576
#: 63 bits fit every integer type on the wire. The digests of two trees of one
#: version collide with a probability of 2**-63.
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
    """Position of a tree in the order of all trees; the highest is in force."""

    version: SettingsVersion
    digest: int

    @classmethod
    def from_published(cls, published: PublishedSettings) -> 'TreeRank':
        """Return the position of a published tree."""
        return cls(published.version, digest_of(published.body))


#: Rank if there is no tree. Versions of published trees start at 1.
NO_TREE = TreeRank(SettingsVersion(0), 0)


#: Verdict on a tree of lower rank; the key tells whether its version equals
#: the version in force.
_LOWER_TREE_VERDICTS = types.MappingProxyType(
    {False: SettingsVerdict.OLDER, True: SettingsVerdict.CONFLICT},
)


class RefusedTree(msgspec.Struct, frozen=True):
    """A tree that was refused as invalid, and the reason."""

    rank: TreeRank
    reason: str


class AcceptedSettings:
    """Holds the highest valid tree offered so far.

    Attributes
    ----------
    rank, published, fleet
        The tree in force: its rank, its published form and its resolved
        form. `published` and `fleet` are None before the first tree.
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
        self.rank = NO_TREE
        self.published: PublishedSettings | None = None
        self.fleet: FleetSettings | None = None
        self.refused: RefusedTree | None = None

    @property
    def version(self) -> SettingsVersion:
        """Return the version in force; 0 before the first is accepted."""
        return self.rank.version

    def offer(self, published: PublishedSettings) -> SettingsVerdict:
        """Put a tree into force if it is valid and of higher rank."""
        rank = TreeRank.from_published(published)
        if rank == self.rank:
            return SettingsVerdict.KNOWN
        if rank < self.rank:
            same_version = rank.version == self.rank.version
            return _LOWER_TREE_VERDICTS[same_version]
        try:
            fleet = _resolve_checked(published)
        except SettingsError as error:
            self.refused = RefusedTree(rank, str(error))
            return SettingsVerdict.INVALID
        self.rank = rank
        self.published = published
        self.fleet = fleet
        return SettingsVerdict.ACCEPTED


def _resolve_checked(published: PublishedSettings) -> FleetSettings:
    size = len(published.body)
    if size > MAX_SETTINGS_BYTES:
        raise SettingsError(
            f'{size} bytes; at most {MAX_SETTINGS_BYTES} are accepted',
        )
    fleet = resolve_tree(published.body)
    if fleet.version != published.version:
        # If the two numbers could differ, a peer and the platform would give
        # one tree different versions, and each watch would return it again.
        raise SettingsError(
            f'version: {fleet.version}; {published.version} is accepted, '
            'the number under which the tree is published',
        )
    return fleet
