"""One attempt: an offer to an endpoint process, until it is clear.

What goes wrong: the reply to an offer is lost, and the request may or may not
run. Offering it elsewhere at once could run it twice; telling the caller that
it was not run could be untrue. The attempt therefore withdraws the request
until the endpoint process says which of the two it is.
"""

import enum

from sycamore_core.ids import Attempt, Incarnation
from sycamore_core.messages import (
    Accepted,
    Declined,
    Offer,
    RunReport,
    Withdraw,
)
from sycamore_core.states import Execution

from ..fleet import EndpointLink
from .call import CallerRequest
from .events import EndpointLost
from .mailbox import Mailbox
from .waiting import next_of

#: How long the reply to an offer is waited for. A reply takes a few
#: milliseconds; the packet of a prompt of a million tokens some tens.
OFFER_REPLY_SECONDS = 1.0
#: How often an offer under an id that may be sent again is made.
OFFER_TRIES = 5
#: Pause between two withdrawals.
WITHDRAW_SECONDS = 0.3
#: How long a silent endpoint process is asked before the outcome is unknown.
WITHDRAW_PATIENCE_SECONDS = 5.0


class AttemptState(enum.StrEnum):
    """What became of an attempt."""

    RUNNING = 'running'
    DECLINED = 'declined'
    BARRED = 'barred'
    UNKNOWN = 'unknown'


class AttemptOffer:
    """Offers a request to one endpoint process.

    Attributes
    ----------
    attempt
        Number of the attempt that is offered or, for an id that its caller
        may send again, of the one that runs.
    declined
        The endpoint process's reply, if it declined.
    """

    def __init__(
        self,
        request: CallerRequest,
        link: EndpointLink,
        attempt: Attempt,
        mailbox: Mailbox,
    ) -> None:
        self.request = request
        self.link = link
        self.attempt = attempt
        self.mailbox = mailbox
        self.declined: Declined | None = None
        self.is_repeatable_id = bool(
            request.bound_incarnation or request.idempotency_key,
        )

    async def make(
        self,
        budget: float,
        priority: int,
        members: tuple[str, ...],
    ) -> AttemptState:
        """Send the offer and return what became of it.

        Parameters
        ----------
        budget
            Time left to the request, in seconds.
        members
            Addresses of the other endpoint processes of a group.
        """
        self.mailbox.endpoint = self.link.endpoint
        offer = self._offer(budget, priority, members)
        reply = await self._reply_to(offer)
        if isinstance(reply, Accepted):
            self.attempt = reply.attempt
            return AttemptState.RUNNING
        if isinstance(reply, Declined):
            self.declined = reply
            return AttemptState.DECLINED
        if self.is_repeatable_id:
            return AttemptState.UNKNOWN
        return await self._withdraw()

    async def _reply_to(self, offer: Offer) -> Accepted | Declined | None:
        # An id that its caller may send again may run at this endpoint only,
        # and the run ledger there answers each copy of an offer the same. So
        # it is sent again; to withdraw it would bar the caller's id for good.
        tries = OFFER_TRIES if self.is_repeatable_id else 1
        for _ in range(tries):
            self.link.post(offer)
            reply = await self._reply()
            if reply is not None:
                return reply
        return None

    async def _reply(self) -> Accepted | Declined | None:
        kinds = (Accepted, Declined, EndpointLost)
        while True:
            reply = await next_of(self.mailbox, kinds, OFFER_REPLY_SECONDS)
            if reply is None or self._is_loss(reply):
                return None
            if self._is_mine(reply):
                return reply

    async def _withdraw(self) -> AttemptState:
        kinds = (Accepted, Declined, RunReport, EndpointLost)
        tries = int(WITHDRAW_PATIENCE_SECONDS / WITHDRAW_SECONDS)
        for _ in range(tries):
            self.link.post(
                Withdraw(self.request.view.request_id, self.attempt),
            )
            reply = await next_of(self.mailbox, kinds, WITHDRAW_SECONDS)
            state = self._state_of(reply)
            if state is not None:
                return state
        return AttemptState.UNKNOWN

    def _state_of(self, reply: object) -> AttemptState | None:
        if isinstance(reply, EndpointLost) and reply.restarted:
            # The earlier incarnation may have run it and nobody can tell.
            return AttemptState.UNKNOWN
        if isinstance(reply, Declined) and self._is_mine(reply):
            self.declined = reply
            return AttemptState.DECLINED
        if isinstance(reply, RunReport) and self._is_mine(reply):
            return _reported_state(reply)
        # A late `Accepted` does not end the step: the withdrawal that is on
        # its way may still bar the run, and its report says which it is.
        return None

    def _is_mine(self, reply: Accepted | Declined | RunReport) -> bool:
        # The caller may have sent a repeatable id before, through this entry
        # or another; the reply is then about the attempt that ran.
        return self.is_repeatable_id or reply.attempt == self.attempt

    def _is_loss(self, reply: object) -> bool:
        return isinstance(reply, EndpointLost)

    def _offer(
        self,
        budget: float,
        priority: int,
        members: tuple[str, ...],
    ) -> Offer:
        view = self.request.view
        return Offer(
            request_id=view.request_id,
            attempt=self.attempt,
            incarnation=self._incarnation(),
            workspace=view.workspace,
            service=view.service,
            budget=budget,
            prompt_tokens=view.prompt_tokens,
            max_output_tokens=view.max_output_tokens,
            idempotent=view.idempotent,
            payload=self.request.payload,
            priority=priority,
            bound=bool(self.request.bound_incarnation),
            idempotency_key=self.request.idempotency_key,
            prefix_blocks=view.prefix_blocks,
            plain_call=self.request.plain_call,
            settings_version=self.request.settings_version,
            members=members,
        )

    def _incarnation(self) -> Incarnation:
        return self.request.bound_incarnation or self.link.incarnation


def _reported_state(report: RunReport) -> AttemptState:
    if report.execution == Execution.NOT_RUN:
        return AttemptState.BARRED
    if report.execution == Execution.RAN:
        return AttemptState.RUNNING
    return AttemptState.UNKNOWN
