"""Keys that sign what passes between the processes, and their rotation."""

import hashlib
import hmac
import os
import pathlib
from collections.abc import Mapping
from typing import Self

from ..errors import AuthenticationError, SettingsError
from ..ids import KeyId

#: Length of a signature; 128 bits withstand guessing at any rate of messages.
SIGNATURE_BYTES = 16
_MINIMAL_KEY_BYTES = 16
_ENVIRONMENT = 'env:'


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
        """Read each secret from where the settings say that it is.

        Parameters
        ----------
        files
            Path of a file, or ``env:NAME`` for an environment variable, by
            key id.

        Raises
        ------
        SettingsError
            If a secret is not there.
        """
        secrets = {
            key_id: _read_secret(key_id, place)
            for key_id, place in files.items()
        }
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


def _read_secret(key_id: KeyId, place: str) -> bytes:
    if place.startswith(_ENVIRONMENT):
        name = place.removeprefix(_ENVIRONMENT)
        secret = os.environ.get(name)
        if secret is None:
            raise SettingsError(
                f'peer key {key_id!r}: variable {name} is not set',
            )
        return secret.strip().encode()
    try:
        return pathlib.Path(place).read_bytes().strip()
    except OSError as error:
        # The place is left out of the message: an operator may have put the
        # key itself there.
        reason = error.strerror
        raise SettingsError(f'peer key {key_id!r}: {reason}') from None


def _signature(secret: bytes, text: bytes) -> bytes:
    hashed = hashlib.blake2b(text, key=secret, digest_size=SIGNATURE_BYTES)
    return hashed.digest()
