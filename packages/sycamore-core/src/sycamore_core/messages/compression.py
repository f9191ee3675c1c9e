"""Compression of updates between entries.

Load pattern: seventeen engines read a prompt of half a million tokens. The
update lists each of them with similar figures, and is sent to 25 peers over a
link of 10 Mbit/s that also carries prompts and answers.

Without compression, such an update occupies the link for 30 ms until all peers
have received it. The last peers place requests on the same engines meanwhile.
"""

import zlib

from ..errors import CodecError
from .entries import CellSummary, CompressedMessage, LoadUpdate
from .inflate import inflate
from .union import decode_message, encode_message

#: Minimum size of a message that is compressed, in bytes. A message with two
#: engines or fewer hardly shrinks.
_MIN_COMPRESSED_BYTES = 300
#: Fastest compression; it suffices because the gain is in repeated figures.
_ZLIB_LEVEL = 1
#: Maximum size of an uncompressed message, in bytes: ten times the size of all
#: load of an entry at 770 endpoints.
MAX_MESSAGE_BYTES = 1_048_576


def compress(
    message: LoadUpdate | CellSummary,
) -> LoadUpdate | CellSummary | CompressedMessage:
    """Return a message in the form that is sent to many receivers.

    Examples
    --------
    >>> update = LoadUpdate('e1', 'a', settings_version=1, is_full=True)
    >>> compress(update) == update
    True
    """
    encoded = encode_message(message)
    if len(encoded) < _MIN_COMPRESSED_BYTES:
        return message
    return CompressedMessage(zlib.compress(encoded, _ZLIB_LEVEL))


def decompress(compressed: CompressedMessage) -> LoadUpdate | CellSummary:
    """Return the message that was compressed.

    Raises
    ------
    CodecError
        If the message cannot be read, is too large, or has another type.
    """
    message = decode_message(inflate(compressed.payload, MAX_MESSAGE_BYTES))
    if isinstance(message, LoadUpdate | CellSummary):
        return message
    raise CodecError('compressed message has an unexpected type')
