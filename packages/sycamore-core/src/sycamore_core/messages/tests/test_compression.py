"""Tests of the compression of updates for links of low bandwidth."""

import zlib

import pytest

from ...errors import CodecError
from ...ids import EndpointId, EntryId, ZoneId
from ...routing import EngineLoad, EngineShare, UnreadPrompt
from .. import (
    CompressedMessage,
    LoadUpdate,
    SettingsWanted,
    compress,
    decompress,
)
from ..compression import MAX_MESSAGE_BYTES
from ..union import encode_message

#: Maximum time for which an update to 25 peers may occupy a link of 10 Mbit/s,
#: in ms: less than a twentieth of the objective of a short request.
MAX_LINK_MS = 15
#: Names without a common pattern, like those that platforms assign.
NAMES = tuple(f'i-{zlib.crc32(bytes(one))}' for one in range(17))
PEERS = 25
BITS_PER_MS = 10_000


def split_over(engines: int) -> LoadUpdate:
    """Return the update about a prompt that several engines read."""
    part = UnreadPrompt(
        '9f87ce33', 87.3, 2147.234, 1.734, 3984.13, is_ahead=True
    )
    load = EngineLoad(unread=(part,))
    return LoadUpdate(
        EntryId('entry-1'),
        ZoneId('a'),
        settings_version=3,
        is_full=False,
        shares=tuple(
            EngineShare(EndpointId(NAMES[one]), load) for one in range(engines)
        ),
    )


def test_update_about_a_split_prompt_occupies_the_link_briefly() -> None:
    """An entry on a link of low bandwidth splits a prompt over 17 engines.

    Uncompressed, the update takes as long to send as thirty short requests,
    and other entries place requests on the same engines meanwhile.
    """
    update = split_over(17)
    sent_bytes = len(encode_message(compress(update))) * PEERS
    assert sent_bytes * 8 / BITS_PER_MS < MAX_LINK_MS
    assert len(encode_message(update)) * PEERS * 8 / BITS_PER_MS > MAX_LINK_MS


def test_compression_round_trip() -> None:
    update = split_over(17)
    compressed = compress(update)
    assert isinstance(compressed, CompressedMessage)
    assert decompress(compressed) == update


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'no stream',
        zlib.compress(b'no message'),
        zlib.compress(encode_message(SettingsWanted(above=3))),
        zlib.compress(bytes(MAX_MESSAGE_BYTES + 1)),
        zlib.compress(encode_message(split_over(2)))[:-4],
    ],
)
def test_invalid_stream_raises_codec_error(payload: bytes) -> None:
    """A peer sends invalid data, or a stream that would exhaust memory.

    The receiver must drop the message and keep running.
    """
    with pytest.raises(CodecError):
        decompress(CompressedMessage(payload))
