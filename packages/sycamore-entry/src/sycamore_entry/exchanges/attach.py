"""A caller that comes back for an answer, through any entry."""

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
from ..errors import CallerGoneError, CutAnswerError, RefusedError
from ..fleet import EndpointLink
from .context import EntryContext
from .mailbox import Mailbox
from .stream import AnswerLostError, AnswerStream
from .waiting import SupersededError, next_of

#: How long the reports of the endpoint processes are waited for each time
#: that they are asked which of them has the answer. They take milliseconds,
#: but an entry that has just started still has to connect to them.
FIND_SECONDS = 1.0
FIND_TRIES = 4
_COME_BACK_SECONDS = 1.0
_ABSENT = frozenset((RunState.NEVER_SEEN, RunState.WITHDRAWN))


class AttachExchange:
    """Finds the endpoint process that has an answer and hands the rest on.

    An id minted by an entry does not say where the request runs, so all
    endpoint processes of the service are asked. That happens only when an
    entry or a connection was lost, which is rare enough.

    Parameters
    ----------
    after
        Number of the last event that the caller has.
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
        """Hand the answer on to `sink` until its end."""
        mailbox = self.context.registry.open(self.request_id)
        try:
            await self._hand_on(fleet, sink, mailbox)
        except RefusedError as refused:
            self.context.metrics.refused(refused.reason)
            await sink.refuse(self.request_id, refused)
        except SupersededError:
            sink.abandon()
        except CallerGoneError:
            return
        finally:
            self._end(mailbox)

    async def _hand_on(
        self,
        fleet: FleetSettings,
        sink: AnswerSink,
        mailbox: Mailbox,
    ) -> None:
        report = await self._find(fleet, mailbox)
        link = self.context.links.open(report.endpoint)
        if link is None:
            raise _lost('the endpoint that has the answer is gone')
        mailbox.endpoint = link.endpoint
        await sink.admitted(self.request_id)
        stream = AnswerStream(
            link,
            self.request_id,
            report.attempt,
            mailbox,
            self.after,
        )
        try:
            close = await stream.receive(sink)
        except (AnswerLostError, CutAnswerError) as error:
            raise _lost(str(error)) from error
        await sink.close(close)

    async def _find(
        self,
        fleet: FleetSettings,
        mailbox: Mailbox,
    ) -> RunReport:
        links = self._links(fleet)
        for _ in range(FIND_TRIES):
            report = await self._ask(links, mailbox)
            if report is not None:
                return report
        raise RefusedError(
            RefusalReason.UNKNOWN_REQUEST,
            'no endpoint that answers knows this request',
            execution=Execution.UNKNOWN,
            retry_after=_COME_BACK_SECONDS,
        )

    async def _ask(
        self,
        links: list[EndpointLink],
        mailbox: Mailbox,
    ) -> RunReport | None:
        """Ask once; the first packets to a peer may be lost."""
        for link in links:
            link.post(Attach(self.request_id, self.after))
        absent: set[EndpointId] = set()
        while len(absent) < len(links):
            report = await next_of(mailbox, (RunReport,), FIND_SECONDS)
            if report is None:
                return None
            if report.state not in _ABSENT:
                return report
            absent.add(report.endpoint)
        raise RefusedError(
            RefusalReason.UNKNOWN_REQUEST,
            'no endpoint of the service knows this request',
            execution=Execution.UNKNOWN,
        )

    def _links(self, fleet: FleetSettings) -> list[EndpointLink]:
        if self.claims.kind == IdKind.BOUND:
            names = [EndpointId(self.claims.minter)]
        else:
            service = fleet.endpoints_of(self.claims.service)
            names = [endpoint.endpoint for endpoint in service]
        links = [self.context.links.open(name) for name in names]
        return [link for link in links if link is not None]

    def _end(self, mailbox: Mailbox) -> None:
        if self.context.registry.close(self.request_id, mailbox):
            now = self.context.now()
            self.context.scheduler.finished(
                self.request_id,
                Outcome.COMPLETE,
                now,
            )


def _lost(detail: str) -> RefusedError:
    return RefusedError(
        RefusalReason.OUTCOME_UNKNOWN,
        detail,
        execution=Execution.RAN,
        retry_after=_COME_BACK_SECONDS,
    )
