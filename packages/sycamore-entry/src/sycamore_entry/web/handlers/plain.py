"""``/v1/workspaces/{w}/services/{s}/call/{path}``: calls to plain services."""

from sycamore_core.messages import PlainCall
from tornado.web import RequestHandler

from ...exchanges import Exchange
from ...incoming_call import make_plain_request
from ..sinks import PlainSink
from .service import ServiceHandler


class PlainCallHandler(ServiceHandler):
    """Routes a call with any method and body."""

    async def get(self, workspace: str, service: str, path: str) -> None:
        """Make the call."""
        request = make_plain_request(
            self.make_checked_call(),
            self.new_request_id(workspace, service),
            PlainCall(self.request.method, path, _content_type(self)),
            self.pop_body(),
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
