"""What entries tell one another, in compressed form.

Load pattern: a prompt of half a million tokens is read by seventeen engines,
each of which an update names with much the same figures, and 25 peers are told
of it over a link of 10 Mbit/s that carries prompts and answers as well.

Without it: such an update takes 30 ms of the link to reach all peers. Whoever
is told last places on the same engines meanwhile.
"""

import zlib

from ..errors import CodecError
from .entries import CellSummary, CompressedMessage, LoadUpdate
from .inflate import inflate
from .union import decode_message, encode_message

#: Bytes of a message from which on it is compressed: one that names two
#: engines or less hardly shrinks.
_LEAST_BYTES = 300
#: Compression that costs least: the gain is in figures that repeat.
_LEVEL = 1
#: Bytes of a message in its plain form, at most: all work of an entry at 770
#: endpoints takes a tenth of it.
MOST_BYTES = 1_048_576


def compress(
    message: LoadUpdate | CellSummary,
) -> LoadUpdate | CellSummary | CompressedMessage:
    """Return the form in which a message is sent to many.

    Examples
    --------
    >>> update = LoadUpdate('e1', 'a', settings_version=1, is_whole=True)
    >>> compress(update) == update
    True
    """
    encoded = encode_message(message)
    if len(encoded) < _LEAST_BYTES:
        return message
    return CompressedMessage(zlib.compress(encoded, _LEVEL))


def restore(compressed: CompressedMessage) -> LoadUpdate | CellSummary:
    """Return the message that was compressed.

    Raises
    ------
    CodecError
        If it cannot be read, is too large, or is of another kind.
    """
    message = decode_message(inflate(compressed.payload, MOST_BYTES))
    if isinstance(message, LoadUpdate | CellSummary):
        return message
    raise CodecError('compressed message: of another kind')
