"""Mints signed request ids and verifies them."""

import base64
import binascii

import msgspec

from ..error_translation import translating_errors
from ..errors import AuthenticationError
from ..ids import KeyId, RequestId
from ..messages.keys import SIGNATURE_BYTES, PeerKeys
from .claims import RequestClaims

_KEY_SEPARATOR = '~'


class RequestIdSigner:
    """Mints signed request ids and reads their claims.

    A request id consists of the key id, a tilde, and the base64 encoding of
    the signature and the claims. Every process that has the peer keys can
    read the ids that other processes mint.

    Examples
    --------
    >>> from sycamore_core.messages import PeerKeys
    >>> signer = RequestIdSigner(PeerKeys({'k': b'0' * 16}, 'k'))
    >>> claims = RequestClaims('e', 'w', 's', 'entry-1', 1, 0.5, 'n')
    >>> signer.read(signer.mint(claims)).workspace
    'w'
    """

    def __init__(self, keys: PeerKeys) -> None:
        self._keys = keys

    def mint(self, claims: RequestClaims) -> RequestId:
        """Return the id that carries `claims`."""
        body = msgspec.msgpack.encode(claims)
        signed = self._keys.sign(body) + body
        text = base64.urlsafe_b64encode(signed).decode().rstrip('=')
        return RequestId(_KEY_SEPARATOR.join((self._keys.signing, text)))

    def read(self, request_id: str) -> RequestClaims:
        """Verify the signature of an id and return its claims.

        Raises
        ------
        AuthenticationError
            If the id is malformed or not signed with a current key.
        """
        key_id, _, text = request_id.partition(_KEY_SEPARATOR)
        try:
            signed = base64.b64decode(
                _padded(text),
                altchars=b'-_',
                validate=True,
            )
        except (binascii.Error, ValueError) as error:
            raise AuthenticationError('malformed request id') from error
        body = signed[SIGNATURE_BYTES:]
        self._keys.verify(KeyId(key_id), body, signed[:SIGNATURE_BYTES])
        with translating_errors('request id', AuthenticationError):
            return msgspec.msgpack.decode(body, type=RequestClaims)


def _padded(text: str) -> str:
    missing = -len(text) % 4
    return text + '=' * missing
