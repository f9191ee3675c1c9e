"""Hashes that are the same in every process, unlike those of the language."""

import hashlib

_HASH_BYTES = 8


def stable_hash(text: str) -> int:
    """Return 64 bits that are the same in every process."""
    hashed = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(hashed.digest())
