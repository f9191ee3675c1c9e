"""``/v1/workspaces/{w}/services/{s}/call/{path}``: calls to plain services."""

from sycamore_core.ids import ServiceId, WorkspaceId
from sycamore_core.messages import PlainCall
from tornado.web import RequestHandler

from ...exchanges import Exchange
from ...intake import Intake, make_plain_request
from ..auth import check_workspace, find_service
from ..limits import read_terms
from ..sinks import PlainSink
from .base import BodyHandler

#: Methods that HTTP defines as idempotent; others may run at most once unless
#: the caller or the service's settings say that they may be repeated.
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


class PlainCallHandler(BodyHandler):
    """Routes a call with any method and body."""

    def prepare(self) -> None:
        """Check everything that does not need the body."""
        self.context.check_open()
        self.fleet = self.context.fleet()
        self.workspace = check_workspace(
            self.fleet,
            WorkspaceId(self.path_kwargs['workspace']),
            self.authorization,
        )
        service = find_service(
            self.workspace,
            ServiceId(self.path_kwargs['service']),
        )
        self.terms = read_terms(self.request.headers, service)
        self.check_length(service.max_body_bytes)

    async def get(self, workspace: str, service: str, path: str) -> None:
        """Make the call."""
        request = make_plain_request(
            Intake(
                fleet=self.fleet,
                workspace=self.workspace,
                service_id=ServiceId(service),
                terms=self.terms,
                arrival=self.context.entry.now(),
            ),
            self.new_request_id(workspace, service),
            PlainCall(self.request.method, path, _content_type(self)),
            self.take_body(),
        )
        exchange = Exchange(self.context.entry, request, PlainSink(self))
        await self.serve(exchange.run())

    post = get
    put = get
    patch = get
    delete = get
    head = get
    options = get


def read_plain_call(handler: RequestHandler) -> PlainCall:
    """Return the call that the headers of a ``PUT`` under an id describe."""
    headers = handler.request.headers
    return PlainCall(
        headers.get('Call-Method', 'POST'),
        headers.get('Call-Path', ''),
        _content_type(handler),
    )


def _content_type(handler: RequestHandler) -> str:
    return handler.request.headers.get('Content-Type', 'application/json')
