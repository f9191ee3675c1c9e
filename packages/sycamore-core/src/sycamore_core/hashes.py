"""Hashes that are the same in every process, unlike those of the language."""

import hashlib

_HASH_BYTES = 8


#: One more than the largest hash.
HASH_RANGE = 1 << (8 * _HASH_BYTES)


def stable_hash(text: str) -> int:
    """Return 64 bits that are the same in every process."""
    hashed = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(hashed.digest())


def stable_part(text: str) -> float:
    """Return a number from 0 to 1 that is the same in every process."""
    return stable_hash(text) / HASH_RANGE
