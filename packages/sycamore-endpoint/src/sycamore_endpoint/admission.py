"""Whether an offer is accepted at this endpoint."""

from sycamore_core.messages import Accepted, Declined, Offer
from sycamore_core.states import EndpointPhase, Execution, RefusalReason

from .groups.spans import divide
from .keys.keeper import KeyKeeper
from .ledger import (
    LeaseKey,
    LeaseKind,
    MemoryLedger,
    Owner,
    RunLedger,
    RunRecord,
)
from .reservations import Reservations
from .state import EndpointState

#: When to come back to an endpoint that is full, in seconds. Entries hear of
#: its load every second, so an earlier try would know no more.
FULL_RETRY_SECONDS = 1.0
#: How long a lease outlives the deadline of its run, in seconds. The run is
#: cancelled at the deadline; this is the backstop if that was lost.
LEASE_SPARE_SECONDS = 10.0


#: After these, an earlier process may have run the request.
_IN_DOUBT = frozenset(
    (RefusalReason.WRONG_INCARNATION, RefusalReason.KEY_IN_DOUBT),
)


class Admission:
    """Decides on offers; no waiting in between, so nothing can change."""

    def __init__(
        self,
        state: EndpointState,
        runs: RunLedger,
        memory: MemoryLedger,
        reservations: Reservations,
        keys: KeyKeeper,
    ) -> None:
        self.state = state
        self.runs = runs
        self.memory = memory
        self.reservations = reservations
        self.keys = keys

    def consider(
        self,
        offer: Offer,
        owner: Owner,
        sent_at: float,
    ) -> Accepted | Declined:
        """Accept or decline an offer; the same one is answered the same.

        Parameters
        ----------
        sent_at
            When the offer was sent, on this process's monotonic clock.
        """
        if offer.incarnation != self.state.incarnation:
            return _unknown(offer, RefusalReason.WRONG_INCARNATION)
        known = self.runs.answer_again(offer, owner)
        if known is not None:
            return Accepted(offer.request_id, known.attempt)
        now = self.state.clock.monotonic()
        refused = self.runs.refusal(offer, owner, now)
        if refused is not None:
            return refused
        return self._consider_new(offer, owner, sent_at, now)

    def may_start(self, record: RunRecord) -> bool:
        """Decide once more, at the moment at which the call is written.

        What goes wrong otherwise: this process is paused between accepting
        an offer and calling the back end, wakes minutes later, and acts on
        what was true before. One would notice a deposit that ran after its
        caller was told that its time was over, or ran a second time. Nothing
        waits between this decision and the write to the socket.
        """
        offer = record.offer
        if offer is None or self.keys.doubt(offer) is not None:
            return False
        return self.runs.start(record, self.state.clock.monotonic())

    def _consider_new(
        self,
        offer: Offer,
        owner: Owner,
        sent_at: float,
        now: float,
    ) -> Accepted | Declined:
        deadline = sent_at + offer.budget
        objection = self._objection(offer, deadline, now)
        if objection is not None:
            if objection in _IN_DOUBT:
                return _unknown(offer, objection)
            return self.runs.decline(offer, owner, objection, now)
        tokens = self._tokens(offer)
        if not self._lease(offer, tokens, deadline, now):
            return self.runs.decline(
                offer,
                owner,
                RefusalReason.MEMORY_FULL,
                now,
                FULL_RETRY_SECONDS,
            )
        self.runs.admit(offer, owner, deadline, now)
        return Accepted(offer.request_id, offer.attempt, tokens)

    def _objection(
        self,
        offer: Offer,
        deadline: float,
        now: float,
    ) -> RefusalReason | None:
        closed = self._closed_to(offer)
        if closed is not None:
            return closed
        if deadline <= now:
            return RefusalReason.DEADLINE_PASSED
        objection = self.reservations.objection(offer)
        if objection is None and self.keys.doubt(offer) is not None:
            return RefusalReason.KEY_IN_DOUBT
        return objection

    def _closed_to(self, offer: Offer) -> RefusalReason | None:
        if self.state.phase is EndpointPhase.DRAINING:
            return RefusalReason.DRAINING
        own = self.state.own
        if own is None:
            return RefusalReason.SETTINGS_NOT_READY
        if self.state.phase is not EndpointPhase.LIVE:
            return RefusalReason.BACKEND_FAILED
        if own.endpoint.service != offer.service:
            return RefusalReason.WRONG_SERVICE
        return None

    def _tokens(self, offer: Offer) -> int:
        if offer.plain_call is not None:
            return 0
        own = self.state.own
        if offer.members and own is not None:
            spans = divide(offer, own.fleet, own.endpoint)
            return spans[-1].tokens if spans else 0
        return offer.prompt_tokens + offer.max_output_tokens

    def _lease(
        self,
        offer: Offer,
        tokens: int,
        deadline: float,
        now: float,
    ) -> bool:
        key = LeaseKey(LeaseKind.RUN, offer.request_id)
        if key in self.memory.leases:
            # An earlier attempt is still being cleared from the engine.
            return False
        expires_at = deadline + LEASE_SPARE_SECONDS
        return self.memory.take(key, tokens, expires_at, now)


def _unknown(offer: Offer, reason: RefusalReason) -> Declined:
    """Decline what an earlier process beside this engine may have run."""
    return Declined(
        request_id=offer.request_id,
        attempt=offer.attempt,
        reason=reason,
        execution=Execution.UNKNOWN,
    )
