"""Keys that sign the packets between processes, and their rotation."""

import hashlib
import hmac
import os
import pathlib
from collections.abc import Mapping
from typing import Self

from ..errors import AuthenticationError, SettingsError
from ..ids import KeyId

#: Length of a signature; 128 bits resist guessing at any message rate.
SIGNATURE_BYTES = 16
_MIN_KEY_BYTES = 16
_ENVIRONMENT_PREFIX = 'env:'


class PeerKeys:
    """The active keys: one signs, all verify.

    To rotate keys, add the new key to all processes, then make it the signing
    key, then remove the old key.

    Parameters
    ----------
    keys
        Secrets by key id.
    signing
        Id of the signing key.

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
            if len(secret) < _MIN_KEY_BYTES:
                raise SettingsError(f'key {key_id!r} is shorter than 16 bytes')
        self._keys = dict(keys)
        self.signing = signing

    @classmethod
    def from_files(cls, files: Mapping[KeyId, str], signing: KeyId) -> Self:
        """Read each secret from the location given in the settings.

        Parameters
        ----------
        files
            Locations by key id: the path of a file, or ``env:NAME`` for an
            environment variable.

        Raises
        ------
        SettingsError
            If a secret cannot be read.
        """
        secrets = {
            key_id: _read_secret(key_id, place)
            for key_id, place in files.items()
        }
        return cls(secrets, signing)

    def sign(self, message: bytes) -> bytes:
        """Return the signature of `message` by the signing key."""
        return _signature(self._keys[self.signing], message)

    def verify(self, key_id: KeyId, message: bytes, signature: bytes) -> None:
        """Check a signature.

        Raises
        ------
        AuthenticationError
            If the key is unknown or the signature is not valid for it.
        """
        secret = self._keys.get(key_id)
        if secret is None:
            raise AuthenticationError(f'unknown key {key_id!r}')
        if not hmac.compare_digest(_signature(secret, message), signature):
            raise AuthenticationError('invalid signature')


def _read_secret(key_id: KeyId, location: str) -> bytes:
    if location.startswith(_ENVIRONMENT_PREFIX):
        name = location.removeprefix(_ENVIRONMENT_PREFIX)
        secret = os.environ.get(name)
        if secret is None:
            raise SettingsError(
                f'peer key {key_id!r}: variable {name} is not set',
            )
        return secret.strip().encode()
    try:
        return pathlib.Path(location).read_bytes().strip()
    except OSError as error:
        # The message omits the location, because an operator may have entered
        # the key itself instead of a path.
        reason = error.strerror
        raise SettingsError(f'peer key {key_id!r}: {reason}') from None


def _signature(secret: bytes, message: bytes) -> bytes:
    hashed = hashlib.blake2b(message, key=secret, digest_size=SIGNATURE_BYTES)
    return hashed.digest()
