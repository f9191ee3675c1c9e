"""What entries tell one another, compressed for links that are narrow."""

import zlib

import pytest

from ...errors import CodecError
from ...ids import EndpointId, EntryId, ZoneId
from ...routing import EngineLoad, EngineShare, Unread
from .. import CompressedMessage, LoadUpdate, SettingsWanted, compress, restore
from ..compression import MOST_BYTES
from ..union import encode_message

#: Time of a link of 10 Mbit/s that telling 25 peers may take, in ms: less than
#: a twentieth of the promise of a short turn.
MOST_LINK_MS = 15
#: Names without a pattern, as platforms give them.
NAMES = tuple(f'i-{zlib.crc32(bytes(one))}' for one in range(17))
PEERS = 25
BITS_PER_MS = 10_000


def split_over(engines: int) -> LoadUpdate:
    """Return what an entry tells of a prompt that many engines read."""
    part = Unread('9f87ce33', 87.3, 2147.234, 1.734, 3984.13, is_ahead=True)
    load = EngineLoad(unread=(part,))
    return LoadUpdate(
        EntryId('entry-1'),
        ZoneId('a'),
        settings_version=3,
        is_whole=False,
        shares=tuple(
            EngineShare(EndpointId(NAMES[one]), load) for one in range(engines)
        ),
    )


def test_peers_hear_of_a_split_prompt_within_moments() -> None:
    """A prompt is split over seventeen engines by an entry on a narrow link.

    In its plain form the news takes as long as thirty short turns to leave
    the instance, and others put work on the same engines meanwhile.
    """
    update = split_over(17)
    told = len(encode_message(compress(update))) * PEERS
    assert told * 8 / BITS_PER_MS < MOST_LINK_MS
    assert len(encode_message(update)) * PEERS * 8 / BITS_PER_MS > MOST_LINK_MS


def test_restored_is_what_was_compressed() -> None:
    update = split_over(17)
    compressed = compress(update)
    assert isinstance(compressed, CompressedMessage)
    assert restore(compressed) == update


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'no stream',
        zlib.compress(b'no message'),
        zlib.compress(encode_message(SettingsWanted(above=3))),
        zlib.compress(bytes(MOST_BYTES + 1)),
        zlib.compress(encode_message(split_over(2)))[:-4],
    ],
)
def test_spoiled_stream_is_an_error_of_the_codec(payload: bytes) -> None:
    """A peer sends something else, or so much that memory runs out.

    It costs its reader the message, never the process.
    """
    with pytest.raises(CodecError):
        restore(CompressedMessage(payload))
