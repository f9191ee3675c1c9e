"""Decompression of what a peer has sent."""

import zlib

from ..errors import CodecError


def inflate(compressed: bytes, most_bytes: int) -> bytes:
    """Return the bytes of a zlib stream.

    Parameters
    ----------
    most_bytes
        Their number at most. Without a bound, a small message fills the
        memory of its reader.

    Raises
    ------
    CodecError
        If it cannot be read, is cut off, or holds more.
    """
    reader = zlib.decompressobj()
    try:
        found = reader.decompress(compressed, most_bytes)
    except zlib.error as error:
        raise CodecError(f'compressed: {error}') from error
    if not reader.eof:
        raise CodecError('compressed: cut off or too large')
    return found
