"""Resuming an answer for a caller that reconnects, through any entry."""

import asyncio

from sycamore_core.identity import IdKind, RequestClaims
from sycamore_core.ids import EndpointId, RequestId
from sycamore_core.messages import Attach, RunReport
from sycamore_core.settings import FleetSettings
from sycamore_core.states import (
    Execution,
    Outcome,
    RefusalReason,
    RunState,
)

from ..answers import AnswerSink
from ..errors import CallerGoneError, IncompleteAnswerError, RefusedError
from ..fleet import EndpointLink
from .context import EntryContext
from .mailbox import Mailbox
from .progress import STOPPED_DETAIL
from .stream import AnswerLostError, AnswerStream
from .waiting import SupersededError, next_event_of

#: Timeout for the run reports of the endpoint processes, for each attempt to
#: find the answer. A report takes milliseconds, but an entry that has just
#: started still has to connect.
FIND_TIMEOUT_SECONDS = 1.0
MAX_FIND_ATTEMPTS = 4
_RETRY_AFTER_SECONDS = 1.0
_ABSENT_STATES = frozenset((RunState.NEVER_SEEN, RunState.WITHDRAWN))


class AttachExchange:
    """Finds the endpoint process that has an answer and relays the rest.

    An id minted by an entry does not contain the endpoint that runs the
    request, so the exchange queries all endpoint processes of the service.
    This cost arises only after the loss of an entry or a connection, which
    is rare.

    Parameters
    ----------
    after
        Number of the last event that the caller has received.
    """

    def __init__(
        self,
        context: EntryContext,
        request_id: RequestId,
        claims: RequestClaims,
        after: int,
    ) -> None:
        self.context = context
        self.request_id = request_id
        self.claims = claims
        self.after = after

    async def run(self, fleet: FleetSettings, sink: AnswerSink) -> None:
        """Relay the answer to `sink` until its end."""
        mailbox = self.context.registry.open(self.request_id)
        try:
            await self._relay_until_stop(fleet, sink, mailbox)
        except RefusedError as refused:
            self.context.metrics.refused(refused.reason)
            await sink.refuse(self.request_id, refused)
        except SupersededError:
            sink.abort()
        except CallerGoneError:
            return
        finally:
            self._finish(mailbox)

    async def _relay_until_stop(
        self,
        fleet: FleetSettings,
        sink: AnswerSink,
        mailbox: Mailbox,
    ) -> None:
        try:
            await self._relay_answer(fleet, sink, mailbox)
        except asyncio.CancelledError as error:
            if not self.context.open.is_ended:
                raise
            raise RefusedError(
                RefusalReason.OUTCOME_UNKNOWN,
                STOPPED_DETAIL,
                execution=Execution.UNKNOWN,
                retry_after=_RETRY_AFTER_SECONDS,
            ) from error

    async def _relay_answer(
        self,
        fleet: FleetSettings,
        sink: AnswerSink,
        mailbox: Mailbox,
    ) -> None:
        report = await self._find_run(fleet, mailbox)
        link = self.context.links.open(report.endpoint)
        if link is None:
            raise _outcome_unknown('the endpoint that has the answer is gone')
        mailbox.endpoint = link.endpoint
        await sink.start(self.request_id)
        stream = AnswerStream(
            link,
            self.request_id,
            report.attempt,
            mailbox,
            self.after,
        )
        try:
            close = await stream.receive(sink)
        except (AnswerLostError, IncompleteAnswerError) as error:
            raise _outcome_unknown(str(error)) from error
        await sink.close(close)

    async def _find_run(
        self,
        fleet: FleetSettings,
        mailbox: Mailbox,
    ) -> RunReport:
        links = self._candidate_links(fleet)
        for _ in range(MAX_FIND_ATTEMPTS):
            report = await self._query_endpoints(links, mailbox)
            if report is not None:
                return report
        raise RefusedError(
            RefusalReason.UNKNOWN_REQUEST,
            'no endpoint that answers knows this request',
            execution=Execution.UNKNOWN,
            retry_after=_RETRY_AFTER_SECONDS,
        )

    async def _query_endpoints(
        self,
        links: list[EndpointLink],
        mailbox: Mailbox,
    ) -> RunReport | None:
        """Query each endpoint once; the first packets to a peer may be lost."""
        for link in links:
            link.post(Attach(self.request_id, self.after))
        absent: set[EndpointId] = set()
        while len(absent) < len(links):
            report = await next_event_of(
                mailbox, (RunReport,), FIND_TIMEOUT_SECONDS
            )
            if report is None:
                return None
            if report.state not in _ABSENT_STATES:
                return report
            absent.add(report.endpoint)
        raise RefusedError(
            RefusalReason.UNKNOWN_REQUEST,
            'no endpoint of the service knows this request',
            execution=Execution.UNKNOWN,
        )

    def _candidate_links(self, fleet: FleetSettings) -> list[EndpointLink]:
        if self.claims.kind == IdKind.BOUND:
            names = [EndpointId(self.claims.minter)]
        else:
            service = fleet.endpoints_of(self.claims.service)
            names = [endpoint.endpoint for endpoint in service]
        links = [self.context.links.open(name) for name in names]
        return [link for link in links if link is not None]

    def _finish(self, mailbox: Mailbox) -> None:
        if self.context.registry.close(self.request_id, mailbox):
            now = self.context.now()
            self.context.scheduler.finished(
                self.request_id,
                Outcome.COMPLETE,
                now,
            )


def _outcome_unknown(detail: str) -> RefusedError:
    return RefusedError(
        RefusalReason.OUTCOME_UNKNOWN,
        detail,
        execution=Execution.RAN,
        retry_after=_RETRY_AFTER_SECONDS,
    )
