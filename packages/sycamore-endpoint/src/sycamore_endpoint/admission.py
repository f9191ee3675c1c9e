"""Admission of offered requests at this endpoint."""

from sycamore_core.messages import Accepted, Declined, Offer
from sycamore_core.states import EndpointPhase, Execution, RefusalReason

from .groups.spans import split_prompt
from .keys.keeper import KeyChecker
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

#: Retry delay sent with the refusal of a full endpoint, in seconds. Entries
#: receive its load every second, so an earlier retry has no newer information.
FULL_RETRY_SECONDS = 1.0
#: Time between the deadline of a run and the expiry of its lease, in seconds.
#: The run is cancelled at the deadline; the expiry covers a lost cancellation.
LEASE_MARGIN_SECONDS = 10.0


#: Refusals after which an earlier process may have run the request.
_EXECUTION_UNKNOWN = frozenset(
    (RefusalReason.WRONG_INCARNATION, RefusalReason.KEY_IN_DOUBT),
)


class Admission:
    """Accepts or declines offers.

    A decision has no suspension point (no ``await``), so the state that it
    reads cannot change before the decision is recorded.
    """

    def __init__(
        self,
        state: EndpointState,
        runs: RunLedger,
        memory: MemoryLedger,
        reservations: Reservations,
        keys: KeyChecker,
    ) -> None:
        self.state = state
        self.runs = runs
        self.memory = memory
        self.reservations = reservations
        self.keys = keys

    def decide(
        self,
        offer: Offer,
        owner: Owner,
        sent_at: float,
    ) -> Accepted | Declined:
        """Accept or decline an offer.

        A repeated offer gets the same answer.

        Parameters
        ----------
        sent_at
            When the offer was sent, in seconds on the monotonic clock of this
            process.
        """
        if offer.incarnation != self.state.incarnation:
            return _decline_unknown(offer, RefusalReason.WRONG_INCARNATION)
        record = self.runs.find_repeated(offer, owner)
        if record is not None:
            return Accepted(offer.request_id, record.attempt)
        now = self.state.clock.monotonic()
        declined = self.runs.refusal(offer, owner, now)
        if declined is not None:
            return declined
        return self._decide_new(offer, owner, sent_at, now)

    def may_start(self, record: RunRecord) -> bool:
        """Check a run again when its call to the back end is written.

        Without this check, a process that is suspended for minutes between
        accepting an offer and calling the back end would act on outdated
        state. A deposit could run after its caller was told that the time
        limit had passed, or run a second time. No suspension point lies
        between this check and the write to the socket.
        """
        offer = record.offer
        if offer is None or self.keys.refusal(offer) is not None:
            return False
        return self.runs.try_start(record, self.state.clock.monotonic())

    def _decide_new(
        self,
        offer: Offer,
        owner: Owner,
        sent_at: float,
        now: float,
    ) -> Accepted | Declined:
        deadline = sent_at + offer.budget
        reason = self._refusal_reason(offer, deadline, now)
        if reason is not None:
            if reason in _EXECUTION_UNKNOWN:
                return _decline_unknown(offer, reason)
            return self.runs.decline(offer, owner, reason, now)
        tokens = self._required_tokens(offer)
        if not self._acquire_lease(offer, tokens, deadline, now):
            return self.runs.decline(
                offer,
                owner,
                RefusalReason.MEMORY_FULL,
                now,
                FULL_RETRY_SECONDS,
            )
        self.runs.admit(offer, owner, deadline, now)
        return Accepted(offer.request_id, offer.attempt, tokens)

    def _refusal_reason(
        self,
        offer: Offer,
        deadline: float,
        now: float,
    ) -> RefusalReason | None:
        unavailable = self._unavailable_reason(offer)
        if unavailable is not None:
            return unavailable
        if deadline <= now:
            return RefusalReason.DEADLINE_PASSED
        reason = self.reservations.refusal_reason(offer)
        if reason is None and self.keys.refusal(offer) is not None:
            return RefusalReason.KEY_IN_DOUBT
        return reason

    def _unavailable_reason(self, offer: Offer) -> RefusalReason | None:
        if self.state.phase is EndpointPhase.DRAINING:
            return RefusalReason.DRAINING
        own_settings = self.state.own_settings
        if own_settings is None:
            return RefusalReason.SETTINGS_NOT_READY
        if self.state.phase is not EndpointPhase.LIVE:
            return RefusalReason.BACKEND_FAILED
        if own_settings.endpoint.service != offer.service:
            return RefusalReason.WRONG_SERVICE
        return None

    def _required_tokens(self, offer: Offer) -> int:
        if offer.plain_call is not None:
            return 0
        own_settings = self.state.own_settings
        if offer.members and own_settings is not None:
            spans = split_prompt(
                offer, own_settings.fleet, own_settings.endpoint
            )
            return spans[-1].tokens if spans else 0
        return offer.prompt_tokens + offer.max_output_tokens

    def _acquire_lease(
        self,
        offer: Offer,
        tokens: int,
        deadline: float,
        now: float,
    ) -> bool:
        key = LeaseKey(LeaseKind.RUN, offer.request_id)
        if key in self.memory.leases:
            # The engine has not yet released an earlier attempt.
            return False
        expires_at = deadline + LEASE_MARGIN_SECONDS
        return self.memory.acquire(key, tokens, expires_at, now)


def _decline_unknown(offer: Offer, reason: RefusalReason) -> Declined:
    """Decline an offer that an earlier endpoint process may have run."""
    return Declined(
        request_id=offer.request_id,
        attempt=offer.attempt,
        reason=reason,
        execution=Execution.UNKNOWN,
    )
