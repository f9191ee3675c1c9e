"""``/v1/requests/{id}``: run under a reserved id, resume, or cancel."""

from sycamore_core.errors import AuthenticationError
from sycamore_core.identity import IdKind, RequestClaims
from sycamore_core.ids import EndpointId, RequestId, ServiceId
from sycamore_core.messages import Attach, Cancel
from sycamore_core.settings import WorkspaceSettings
from sycamore_core.states import (
    CancelReason,
    EndpointKind,
    Execution,
    RefusalReason,
)

from ...answers import AnswerSink
from ...errors import RefusedError
from ...exchanges import AttachExchange, CallerRequest, Exchange
from ...incoming_call import CheckedCall, make_model_request, make_plain_request
from ..auth import check_workspace, find_service
from ..limits import read_terms
from ..prompts import read_prompt
from ..sinks import PlainSink
from .base import BodyHandler
from .plain import read_plain_call

_ACCEPTED = 202
_FROM_START = -1


class AnswerHandler(BodyHandler):
    """Runs, resumes and cancels requests by their id."""

    def prepare(self) -> None:
        """Check the id, and that it belongs to the caller's workspace."""
        self.fleet = self.context.fleet()
        self.claims = self._read_claims()
        self.workspace: WorkspaceSettings = check_workspace(
            self.fleet,
            self.claims.workspace,
            self.authorization,
        )
        service = find_service(self.workspace, self.claims.service)
        self.set_body_limit(service.max_body_bytes)

    async def put(self, request_id: str) -> None:
        """Run a request under a reserved id, only at the endpoint of the id."""
        self.context.check_not_draining()
        if self.claims.kind != IdKind.BOUND:
            raise RefusedError(
                RefusalReason.BAD_REQUEST,
                'this id was not made by a reservation',
            )
        request = self._bound_request(RequestId(request_id))
        await self._check_incarnation()
        exchange = Exchange(
            self.context.entry, request, self._make_answer_sink()
        )
        await self.serve(exchange.run())

    async def get(self, request_id: str) -> None:
        """Send the answer from the event that follows ``after``."""
        after = self.get_query_argument('after', str(_FROM_START))
        if not after.removeprefix('-').isdigit():
            raise RefusedError(
                RefusalReason.BAD_REQUEST,
                '"after" is not the number of an event',
            )
        exchange = AttachExchange(
            self.context.entry,
            RequestId(request_id),
            self.claims,
            max(_FROM_START, int(after)),
        )
        await self.serve(exchange.run(self.fleet, self._make_answer_sink()))

    async def delete(self, request_id: str) -> None:
        """Cancel the request at all endpoints of the service."""
        names = [
            endpoint.endpoint
            for endpoint in self.fleet.endpoints_of(self.claims.service)
        ]
        for name in names:
            link = self.context.entry.links.open(name)
            if link is not None:
                link.post(Attach(RequestId(request_id)))
                link.post(
                    Cancel(RequestId(request_id), CancelReason.CALLER_GONE)
                )
        self.set_status(_ACCEPTED)
        self.set_header('Request-Id', request_id)
        await self.finish()

    def _read_claims(self) -> RequestClaims:
        try:
            return self.context.signer.read(self.path_kwargs['request_id'])
        except AuthenticationError as error:
            raise RefusedError(
                RefusalReason.FORGED_REQUEST_ID,
                'the request id was not made by this system',
            ) from error

    def _bound_request(self, request_id: RequestId) -> CallerRequest:
        service = self.workspace.services[self.claims.service]
        checked_call = CheckedCall(
            fleet=self.fleet,
            workspace=self.workspace,
            service_id=ServiceId(self.claims.service),
            terms=read_terms(
                self.request.headers,
                service,
                read_plain_call(self).method,
            ),
            arrival=self.context.entry.now(),
            claims=self.claims,
        )
        body = self.pop_body()
        if service.kind == EndpointKind.PLAIN:
            call = read_plain_call(self)
            return make_plain_request(checked_call, request_id, call, body)
        return make_model_request(checked_call, request_id, read_prompt(body))

    async def _check_incarnation(self) -> None:
        # Any other incarnation would decline the offer. This check spares the
        # caller a wait for an endpoint process that no longer exists.
        minter = EndpointId(self.claims.minter)
        link = await self.context.entry.links.wait_for_report(minter)
        if link is None or link.incarnation == self.claims.incarnation:
            return
        raise RefusedError(
            RefusalReason.OUTCOME_UNKNOWN,
            'the endpoint process that made this id is gone',
            execution=Execution.UNKNOWN,
        )

    def _make_answer_sink(self) -> AnswerSink:
        service = self.workspace.services[self.claims.service]
        if service.kind == EndpointKind.PLAIN:
            return PlainSink(self)
        return self.make_sink()
