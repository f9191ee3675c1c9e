"""Hashes that are the same in every process, unlike the built-in `hash`."""

import hashlib

HASH_BYTES = 8


#: One more than the largest hash.
HASH_RANGE = 1 << (8 * HASH_BYTES)


def stable_digest(hashed: bytes) -> bytes:
    """Return `HASH_BYTES` bytes that are the same in every process."""
    return hashlib.blake2b(hashed, digest_size=HASH_BYTES).digest()


def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    return int.from_bytes(stable_digest(text.encode()))


def stable_fraction(text: str) -> float:
    """Return a hash scaled to [0, 1) that is the same in every process."""
    return stable_hash(text) / HASH_RANGE
