"""What the HTTP servers of the stand-ins share."""

import asyncio
import signal
from typing import Any, TypeVar

import msgspec
from tornado import web
from tornado.httpserver import HTTPServer

#: Bodies are as large as a prompt of a million tokens in base64.
MAX_BODY_BYTES = 67_108_864
_BAD_REQUEST = 400
_OK = 200

_Body = TypeVar('_Body')


class JsonHandler(web.RequestHandler):
    """A handler that reads and writes typed JSON."""

    def read(self, kind: type[_Body]) -> _Body:
        """Return the body of the request as `kind`.

        Raises
        ------
        tornado.web.HTTPError
            With status 400 if the body is not of that type.
        """
        try:
            return msgspec.json.decode(self.request.body or b'{}', type=kind)
        except msgspec.DecodeError as error:
            raise web.HTTPError(_BAD_REQUEST, str(error)) from error

    def send(self, answer: Any, status: int = _OK) -> None:
        """Finish the answer with the JSON form of `answer`."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(answer))

    def number(self, name: str, default: float) -> float:
        """Return a number from the query."""
        try:
            return float(self.get_query_argument(name, str(default)))
        except ValueError as error:
            raise web.HTTPError(_BAD_REQUEST, str(error)) from error


class ReadyHandler(JsonHandler):
    """Tells that the server takes calls."""

    def get(self) -> None:
        """Answer any caller."""
        self.send('ready')


async def serve(
    application: web.Application,
    host: str,
    port: int,
) -> None:
    """Serve until the process is asked to stop by SIGTERM."""
    server = HTTPServer(application, max_buffer_size=MAX_BODY_BYTES)
    server.listen(port, address=host, backlog=1024)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    server.stop()
