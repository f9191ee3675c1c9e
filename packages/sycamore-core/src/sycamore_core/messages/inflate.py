"""Bounded decompression of data from a peer."""

import zlib

from ..errors import CodecError


def inflate(compressed: bytes, max_bytes: int) -> bytes:
    """Return the decompressed bytes of a zlib stream.

    Parameters
    ----------
    max_bytes
        Maximum number of decompressed bytes. Without a bound, a small
        message could exhaust the memory of the receiver.

    Raises
    ------
    CodecError
        If the stream is invalid, truncated or too large.
    """
    reader = zlib.decompressobj()
    try:
        inflated = reader.decompress(compressed, max_bytes)
    except zlib.error as error:
        raise CodecError(f'invalid compressed data: {error}') from error
    if not reader.eof:
        raise CodecError('compressed data is truncated or too large')
    return inflated
