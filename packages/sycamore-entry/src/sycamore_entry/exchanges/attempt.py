"""One attempt: an offer to an endpoint process, until its state is known.

If the reply to an offer is lost, the request may or may not run. An immediate
offer to another endpoint could run it twice, and reporting "not run" to the
caller could be wrong. The attempt therefore repeats a withdrawal until the
endpoint process reports whether the request ran.
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
from .waiting import next_event_of

#: Timeout for the reply to an offer. A reply takes a few milliseconds; the
#: packet of a prompt of a million tokens takes some tens of milliseconds.
OFFER_REPLY_TIMEOUT_SECONDS = 1.0
#: Maximum number of offers under an id that the caller may reuse.
MAX_OFFERS = 5
#: Interval between two withdrawals.
WITHDRAW_INTERVAL_SECONDS = 0.3
#: Time after which the outcome counts as unknown if the endpoint process
#: does not reply to the withdrawals.
WITHDRAW_TIMEOUT_SECONDS = 5.0


class AttemptState(enum.StrEnum):
    """State of an attempt after its offer."""

    RUNNING = 'running'
    DECLINED = 'declined'
    BARRED = 'barred'
    UNKNOWN = 'unknown'


class AttemptOffer:
    """Offers a request to one endpoint process.

    Attributes
    ----------
    attempt
        Number of the offered attempt. For an id that the caller may reuse,
        the number of the attempt that runs.
    declined
        Reply of the endpoint process, if it declined.
    has_reusable_id
        Whether the caller may send the request again under the same id.
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
        self.has_reusable_id = bool(
            request.bound_incarnation or request.idempotency_key,
        )

    async def send(
        self,
        budget: float,
        priority: int,
        members: tuple[str, ...],
    ) -> AttemptState:
        """Send the offer and return the state of the attempt.

        Parameters
        ----------
        budget
            Time left until the deadline, in seconds.
        members
            Addresses of the other endpoint processes of a group.
        """
        self.mailbox.endpoint = self.link.endpoint
        offer = self._make_offer(budget, priority, members)
        reply = await self._send_until_reply(offer)
        if isinstance(reply, Accepted):
            self.attempt = reply.attempt
            return AttemptState.RUNNING
        if isinstance(reply, Declined):
            self.declined = reply
            return AttemptState.DECLINED
        if self.has_reusable_id:
            return AttemptState.UNKNOWN
        return await self._withdraw()

    async def _send_until_reply(
        self, offer: Offer
    ) -> Accepted | Declined | None:
        # A reusable id can run at this endpoint only, and the run ledger of
        # the endpoint replies to each copy of an offer in the same way. The
        # offer is therefore repeated; a withdrawal would permanently bar the
        # caller's id.
        attempts = MAX_OFFERS if self.has_reusable_id else 1
        for _ in range(attempts):
            self.link.post(offer)
            reply = await self._next_reply()
            if reply is not None:
                return reply
        return None

    async def _next_reply(self) -> Accepted | Declined | None:
        event_types = (Accepted, Declined, EndpointLost)
        while True:
            reply = await next_event_of(
                self.mailbox, event_types, OFFER_REPLY_TIMEOUT_SECONDS
            )
            if reply is None or self._is_endpoint_lost(reply):
                return None
            if self._is_about_attempt(reply):
                return reply

    async def _withdraw(self) -> AttemptState:
        event_types = (Accepted, Declined, RunReport, EndpointLost)
        attempts = int(WITHDRAW_TIMEOUT_SECONDS / WITHDRAW_INTERVAL_SECONDS)
        for _ in range(attempts):
            self.link.post(
                Withdraw(self.request.view.request_id, self.attempt),
            )
            reply = await next_event_of(
                self.mailbox, event_types, WITHDRAW_INTERVAL_SECONDS
            )
            state = self._classify_reply(reply)
            if state is not None:
                return state
        return AttemptState.UNKNOWN

    def _classify_reply(self, reply: object) -> AttemptState | None:
        if isinstance(reply, EndpointLost) and reply.restarted:
            # The earlier incarnation may have run the request; its state is
            # lost.
            return AttemptState.UNKNOWN
        if isinstance(reply, Declined) and self._is_about_attempt(reply):
            self.declined = reply
            return AttemptState.DECLINED
        if isinstance(reply, RunReport) and self._is_about_attempt(reply):
            return _reported_state(reply)
        # A late `Accepted` does not end this step. The withdrawal in transit
        # may still bar the run; the report about it gives the final state.
        return None

    def _is_about_attempt(self, reply: Accepted | Declined | RunReport) -> bool:
        # The caller may have sent a reusable id before, through this entry or
        # another one. The reply then concerns the attempt that ran.
        return self.has_reusable_id or reply.attempt == self.attempt

    def _is_endpoint_lost(self, reply: object) -> bool:
        return isinstance(reply, EndpointLost)

    def _make_offer(
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
