"""Keys that sign what passes between the processes, and their rotation."""

import hashlib
import hmac
import pathlib
from collections.abc import Mapping
from typing import Self

from ..errors import AuthenticationError, SettingsError
from ..ids import KeyId

#: Length of a signature; 128 bits withstand guessing at any rate of messages.
SIGNATURE_BYTES = 16
_MINIMAL_KEY_BYTES = 16


class PeerKeys:
    """The keys in force: one that signs, all of which verify.

    During a rotation the new key is first added everywhere, then made the
    signing one, then the old one is removed.

    Parameters
    ----------
    keys
        Secret by key id.
    signing
        Id of the key that signs.

    Examples
    --------
    >>> keys = PeerKeys({KeyId('k1'): b'0123456789abcdef'}, KeyId('k1'))
    >>> keys.verify(KeyId('k1'), b'text', keys.sign(b'text'))
    """

    def __init__(self, keys: Mapping[KeyId, bytes], signing: KeyId) -> None:
        if signing not in keys:
            raise SettingsError(
                f'signing key {signing!r} is not among the keys'
            )
        for key_id, secret in keys.items():
            if len(secret) < _MINIMAL_KEY_BYTES:
                raise SettingsError(f'key {key_id!r} is shorter than 16 bytes')
        self._keys = dict(keys)
        self.signing = signing

    @classmethod
    def from_files(cls, files: Mapping[KeyId, str], signing: KeyId) -> Self:
        """Read each secret from the file that the settings name."""
        try:
            secrets = {
                key_id: pathlib.Path(name).read_bytes().strip()
                for key_id, name in files.items()
            }
        except OSError as error:
            raise SettingsError(f'peer key: {error}') from error
        return cls(secrets, signing)

    def sign(self, text: bytes) -> bytes:
        """Return the signature of `text` by the signing key."""
        return _signature(self._keys[self.signing], text)

    def verify(self, key_id: KeyId, text: bytes, signature: bytes) -> None:
        """Check a signature.

        Raises
        ------
        AuthenticationError
            If the key is not known or the signature is not the key's.
        """
        secret = self._keys.get(key_id)
        if secret is None:
            raise AuthenticationError(f'unknown key {key_id!r}')
        if not hmac.compare_digest(_signature(secret, text), signature):
            raise AuthenticationError('wrong signature')


def _signature(secret: bytes, text: bytes) -> bytes:
    hashed = hashlib.blake2b(text, key=secret, digest_size=SIGNATURE_BYTES)
    return hashed.digest()
