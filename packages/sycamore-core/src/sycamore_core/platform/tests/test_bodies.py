"""Tests of settings in messages between peers."""

import zlib

import pytest

from ...errors import PlatformError
from ...ids import SettingsVersion
from ...messages import SettingsBody
from ...states import SettingsVerdict
from .. import MAX_SETTINGS_BYTES, PublishedSettings
from ..bodies import pack_settings, unpack_settings
from .builders import FakeSource, make_keeper, tree


def test_largest_allowed_tree_survives_a_round_trip() -> None:
    body = bytes(number % 256 for number in range(MAX_SETTINGS_BYTES))
    published = PublishedSettings(SettingsVersion(4), body)
    packed = pack_settings(published)
    assert unpack_settings(packed) == published
    assert len(packed.body) < len(body)


def test_tree_of_an_older_process_is_not_compressed() -> None:
    published = tree(4)
    assert unpack_settings(SettingsBody(4, published.body)) == published


@pytest.mark.parametrize(
    'body',
    [
        b'not compressed',
        zlib.compress(b' ' * (MAX_SETTINGS_BYTES + 1)),
        zlib.compress(b'{}' * 1000)[:-4],
    ],
)
def test_unreadable_settings_of_a_peer_change_nothing(body: bytes) -> None:
    """A peer sends settings that are corrupt or exceed the size limit.

    An unhandled error would end the task that receives from that peer, and all
    its later messages would be lost.
    """
    message = SettingsBody(9, body, compressed=True)
    with pytest.raises(PlatformError):
        unpack_settings(message)
    keeper = make_keeper(FakeSource())
    assert keeper.offer_from_peer(message) is SettingsVerdict.INVALID
    assert keeper.version == 0


def test_version_is_compressed_once_for_all_peers() -> None:
    keeper = make_keeper(FakeSource())
    keeper.offer_from_peer(pack_settings(tree(4)))
    first = keeper.body
    assert first.compressed
    assert keeper.body is first
    keeper.offer_from_peer(pack_settings(tree(5)))
    assert unpack_settings(keeper.body) == tree(5)
