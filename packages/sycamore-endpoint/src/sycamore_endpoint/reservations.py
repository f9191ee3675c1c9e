"""Request ids that are bound to this endpoint process."""

import secrets

from sycamore_core.clock import Clock
from sycamore_core.errors import AuthenticationError
from sycamore_core.identity import IdKind, RequestClaims, RequestIdSigner
from sycamore_core.ids import EndpointId, Incarnation, PeerId, RequestId
from sycamore_core.messages import Offer, Reserve, Reserved
from sycamore_core.states import RefusalReason

from .ledger import RESERVATION_TTL_SECONDS, RunLedger

_NONCE_BYTES = 12


class Reservations:
    """Creates bound ids and checks the ids of offers."""

    def __init__(
        self,
        runs: RunLedger,
        signer: RequestIdSigner,
        name: EndpointId,
        incarnation: Incarnation,
        clock: Clock,
    ) -> None:
        self.runs = runs
        self.signer = signer
        self.name = PeerId(name)
        self.incarnation = incarnation
        self.clock = clock

    def reserve(self, wanted: Reserve) -> Reserved:
        """Create an id and record it; no run starts.

        A repeated message gets another id. The first id expires unused.
        """
        now = self.clock.monotonic()
        request_id = self._mint(wanted, now)
        self.runs.reserve(request_id, now)
        return Reserved(
            nonce=wanted.nonce,
            request_id=request_id,
            expires_in=RESERVATION_TTL_SECONDS,
        )

    def refusal_reason(self, offer: Offer) -> RefusalReason | None:
        """Return why the id of an offer may not be used here, or None.

        The claims in the id decide, not the flag of the offer: otherwise a
        bound id with a wrong flag would run at another endpoint too, and the
        request would run twice.
        """
        try:
            claims = self.signer.read(offer.request_id)
        except AuthenticationError:
            return RefusalReason.FORGED_REQUEST_ID
        if claims.workspace != offer.workspace:
            return RefusalReason.FORGED_REQUEST_ID
        bound = claims.kind is IdKind.BOUND
        if bound != offer.bound:
            return RefusalReason.FORGED_REQUEST_ID
        if bound and not self._is_minted_here(claims):
            return RefusalReason.WRONG_INCARNATION
        return None

    def _is_minted_here(self, claims: RequestClaims) -> bool:
        same_process = claims.minter == self.name
        return same_process and claims.incarnation == self.incarnation

    def _mint(self, wanted: Reserve, now: float) -> RequestId:
        return self.signer.mint(
            RequestClaims(
                kind=IdKind.BOUND,
                workspace=wanted.workspace,
                service=wanted.service,
                minter=self.name,
                incarnation=self.incarnation,
                issued=now,
                nonce=secrets.token_hex(_NONCE_BYTES),
            ),
        )
