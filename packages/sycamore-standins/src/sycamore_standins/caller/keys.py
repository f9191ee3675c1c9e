"""Keys by which a caller names a request that must not run twice."""

import secrets
import time
import uuid

_MILLISECONDS = 1000
_TIME_BYTES = 6
_RANDOM_BYTES = 10
_VERSION_BYTE = 6
_VERSION = 112
_LOW_HALF = 15
_VARIANT_BYTE = 8
_VARIANT = 128
_LOW_SIX_BITS = 63


def new_key() -> str:
    """Return a UUID of version 7, which says when it was issued.

    Examples
    --------
    >>> uuid.UUID(new_key()).version
    7
    """
    issued = int(time.time() * _MILLISECONDS).to_bytes(_TIME_BYTES)
    key = bytearray(issued + secrets.token_bytes(_RANDOM_BYTES))
    key[_VERSION_BYTE] = _VERSION | key[_VERSION_BYTE] & _LOW_HALF
    key[_VARIANT_BYTE] = _VARIANT | key[_VARIANT_BYTE] & _LOW_SIX_BITS
    return str(uuid.UUID(bytes=bytes(key)))
