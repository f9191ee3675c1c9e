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


def test_claims_come_back() -> None:
    signer = RequestIdSigner(KEYS)
    assert signer.read(signer.mint(CLAIMS)) == CLAIMS


@pytest.mark.parametrize(
    'forged',
    ['', 'k', 'k~', 'k~AAAA', 'k~!!!!', 'x~AAAA', 'k~\u00e9', '~' * 100],
)
def test_forged_id_is_refused(forged: str) -> None:
    with pytest.raises(AuthenticationError):
        RequestIdSigner(KEYS).read(forged)


def test_id_of_another_workspace_cannot_be_made_from_ones_own() -> None:
    """A caller changes a letter of its id to read another's answer."""
    signer = RequestIdSigner(KEYS)
    minted = signer.mint(CLAIMS)
    for position, letter in enumerate(minted[2:], start=2):
        swapped = 'B' if letter == 'A' else 'A'
        forged = minted[:position] + swapped + minted[position + 1 :]
        try:
            claims = signer.read(forged)
        except AuthenticationError:
            continue
        assert claims == CLAIMS
