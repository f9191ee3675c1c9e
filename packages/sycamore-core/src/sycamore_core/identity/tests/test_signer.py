"""Tests of request ids."""

import pytest

from ...errors import AuthenticationError
from ...ids import Incarnation, KeyId, PeerId, ServiceId, WorkspaceId
from ...messages import PeerKeys
from .. import IdKind, RequestClaims, RequestIdSigner

KEYS = PeerKeys({KeyId('k'): b'k' * 16}, KeyId('k'))
CLAIMS = RequestClaims(
    kind=IdKind.BOUND,
    workspace=WorkspaceId('w'),
    service=ServiceId('s'),
    minter=PeerId('endpoint-1'),
    incarnation=Incarnation(4),
    issued=1.5,
    nonce='n',
)


def test_minted_id_returns_its_claims() -> None:
    signer = RequestIdSigner(KEYS)
    assert signer.read(signer.mint(CLAIMS)) == CLAIMS


@pytest.mark.parametrize(
    'forged',
    ['', 'k', 'k~', 'k~AAAA', 'k~!!!!', 'x~AAAA', 'k~\u00e9', '~' * 100],
)
def test_forged_id_is_rejected(forged: str) -> None:
    with pytest.raises(AuthenticationError):
        RequestIdSigner(KEYS).read(forged)


def test_altered_id_is_rejected_or_has_the_same_claims() -> None:
    """Guards against a caller that alters its id to read other answers."""
    signer = RequestIdSigner(KEYS)
    minted = signer.mint(CLAIMS)
    for position, character in enumerate(minted[2:], start=2):
        replacement = 'B' if character == 'A' else 'A'
        forged = minted[:position] + replacement + minted[position + 1 :]
        try:
            claims = signer.read(forged)
        except AuthenticationError:
            continue
        assert claims == CLAIMS
