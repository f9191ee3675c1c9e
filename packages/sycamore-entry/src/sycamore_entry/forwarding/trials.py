"""Grants trial attempts of a suspect request after its quarantine."""

import abc
import asyncio

import msgspec
from sycamore_core.clock import Clock
from sycamore_core.decisions.crashes import (
    Quarantine,
    TrialDecision,
    TrialDenial,
    TrialReadiness,
    granting_entry,
)
from sycamore_core.ids import TraitDigest
from sycamore_core.membership import Membership
from sycamore_core.messages import TrialAnswer, TrialWanted
from sycamore_core.telemetry import Log
from sycamore_core.telemetry.tallies import Tally
from sycamore_core.transport import Node, Peer

from .endpoints.time_limit import wait_within

#: Longest wait for the answer of a peer, in seconds. A connection to a peer in
#: another region may have to be opened first.
_ANSWER_TIMEOUT_SECONDS = 0.25
#: Upper bound of the peers' trials that are stored; the oldest are dropped.
_MAX_PEER_TRIALS = 256


class TrialGrants(abc.ABC):
    """Decides which entry may make a trial attempt of a suspect request."""

    def __init__(self, quarantine: Quarantine, clock: Clock) -> None:
        self.quarantine = quarantine
        self.clock = clock

    @abc.abstractmethod
    async def request_trial(self, trait: TraitDigest) -> int:
        """Return the number of the trial that this entry may make, or 0."""

    def record_end(self, trait: TraitDigest, number: int) -> None:
        """Record that a trial has ended; the others hear of it by reports."""
        self.quarantine.record_trial_end(trait, number, self.clock.monotonic())


class LocalTrialGrants(TrialGrants):
    """Trial grants of an entry without peers."""

    async def request_trial(self, trait: TraitDigest) -> int:
        """Return the number of the trial that this entry may make, or 0."""
        return self.decide(trait).number

    def decide(self, trait: TraitDigest) -> TrialDecision:
        """Grant a trial if one is due now."""
        return self.quarantine.decide_trial(trait, self.clock.monotonic())


class PeerTrial(msgspec.Struct, frozen=True):
    """A trial that was granted to the process at an address."""

    address: str
    number: int


class FleetTrialGrants(TrialGrants):
    """Trial grants of an entry with peers.

    For each trait, one entry of the fleet grants all trials.

    Attributes
    ----------
    pending
        Requests for a trial that the granting entry has not answered yet.
    peer_trials
        The last trial of each trait that this entry has granted to a peer.
    denials
        Counts of denied trials, by reason.
    readiness
        Whether this entry knows of all earlier trials.
    """

    def __init__(
        self,
        local_grants: LocalTrialGrants,
        node: Node,
        membership: Membership,
        denials: Tally | None = None,
    ) -> None:
        super().__init__(local_grants.quarantine, local_grants.clock)
        self.local_grants = local_grants
        self.node = node
        self.membership = membership
        self.denials = denials or Tally('reason')
        self.log = Log('mesh')
        self.pending: dict[TraitDigest, asyncio.Future[TrialDecision]] = {}
        self.peer_trials: dict[TraitDigest, PeerTrial] = {}
        self.readiness = TrialReadiness()

    async def request_trial(self, trait: TraitDigest) -> int:
        """Return the number of the trial that this entry may make, or 0."""
        address = self.granting_address(trait)
        if address == self.membership.address:
            decision = self._decide(trait)
        else:
            decision = await self._request_decision(trait, address)
        if decision.denial:
            self.denials.add(decision.denial)
        self.log.info(
            'trial_decided',
            content=trait.hex(),
            number=decision.number,
            denial=decision.denial,
            granting=address,
        )
        return decision.number

    def handle_trial_request(self, peer: Peer, wanted: TrialWanted) -> None:
        """Answer the request of a peer for a trial."""
        trait = wanted.trait
        decision = self._decide(trait)
        if decision.number:
            trial = PeerTrial(peer.address, decision.number)
            self.peer_trials.pop(trait, None)
            self.peer_trials[trait] = trial
            if len(self.peer_trials) > _MAX_PEER_TRIALS:
                self.peer_trials.pop(next(iter(self.peer_trials)))
        peer.post(TrialAnswer(trait, decision.number, decision.denial))

    def handle_trial_answer(self, peer: Peer, answer: TrialAnswer) -> None:
        """Handle the answer of the granting entry."""
        future = self.pending.get(answer.trait)
        if future is not None and not future.done():
            future.set_result(TrialDecision(answer.number, answer.denial))
        elif answer.number:
            # No caller waits for it any more, so that the trial is not made.
            now = self.clock.monotonic()
            self.quarantine.record_trial(answer.trait, answer.number, now)
            self.record_end(answer.trait, answer.number)

    def record_running(self, now: float) -> None:
        """Record that this process runs.

        Without this, a process that was suspended would grant trials that
        other entries have made in the meantime.
        """
        self.readiness.record_running(now, self.membership.reporting_fraction)

    def record_restart(self, address: str) -> None:
        """Record that another process runs at the address of a peer.

        The trials of the former process have ended with it.
        """
        for trait, trial in tuple(self.peer_trials.items()):
            if trial.address == address:
                self.peer_trials.pop(trait)
                self.record_end(trait, trial.number)

    def record_peer_joined(self, address: str, now: float) -> None:
        """Record that a peer has joined, for the first time or again.

        Without this, when a partition of the fleet ends, an entry of one half
        would repeat a trial of the other half that it does not know yet.
        """
        self.readiness.record_peer_joined(address, now)

    def record_all_reports(self, address: str) -> None:
        """Record that a peer has reported all trials that it knows of."""
        self.readiness.record_all_reports(address)

    def granting_address(self, trait: TraitDigest) -> str:
        """Return the address of the entry that grants trials of a trait."""
        members = self.membership.members.values()
        peers = [member.address for member in members if not member.is_lost]
        return granting_entry(trait, (*peers, self.membership.address))

    def _decide(self, trait: TraitDigest) -> TrialDecision:
        """Grant a trial if this entry may grant it and one is due now.

        An entry grants nothing unless it is the granting entry and knows of
        all earlier trials.
        """
        if self.granting_address(trait) != self.membership.address:
            return TrialDecision(denial=TrialDenial.OTHER_ENTRY_GRANTS)
        now = self.clock.monotonic()
        self.record_running(now)
        denial = self.readiness.denial(now)
        if denial is not None:
            return TrialDecision(denial=denial)
        return self.local_grants.decide(trait)

    async def _request_decision(
        self, trait: TraitDigest, address: str
    ) -> TrialDecision:
        """Request a trial from a peer."""
        if trait in self.pending:
            return TrialDecision(denial=TrialDenial.ALREADY_REQUESTED)
        answered = asyncio.get_running_loop().create_future()
        self.pending[trait] = answered
        self.node.peer(address).post(TrialWanted(trait))
        try:
            decision = await wait_within(answered, _ANSWER_TIMEOUT_SECONDS)
        except TimeoutError:
            return TrialDecision(denial=TrialDenial.NO_ANSWER)
        finally:
            self.pending.pop(trait)
        now = self.clock.monotonic()
        self.quarantine.record_trial(trait, decision.number, now)
        return decision
