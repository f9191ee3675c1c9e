"""Short control calls to a back end: cancellations, orders, load."""

from typing import Any, TypeVar

import msgspec
from sycamore_core.error_translation import translating_errors
from sycamore_core.errors import BackendError
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from ..errors import BackendUnreachableError

#: Default timeout of a control call, in seconds. The back end runs on the same
#: instance and answers in milliseconds. A stuck back end must not block the
#: tasks that wait for the answer.
CONTROL_SECONDS = 2.0

_Answer = TypeVar('_Answer')


class ControlClient:
    """Makes short JSON calls to one back end.

    The client has its own connections, so that a cancellation never queues
    behind streams.
    """

    def __init__(self, base_url: str, client: CurlAsyncHTTPClient) -> None:
        self.base_url = base_url.rstrip('/')
        self.client = client

    async def read(self, path: str, kind: type[_Answer]) -> _Answer:
        """Return the answer to a GET.

        Raises
        ------
        BackendError
            If there is no answer, or it cannot be decoded.
        """
        response = await self._fetch(path, 'GET', None)
        return _decode(response, kind)

    async def send(
        self,
        path: str,
        body: Any,
        kind: type[_Answer],
        seconds: float = CONTROL_SECONDS,
    ) -> _Answer:
        """Return the answer to a POST of JSON.

        Raises
        ------
        BackendUnreachableError
            If there is no answer; the call may have taken effect.
        BackendError
            If the back end answered with an error status, or its answer
            cannot be decoded.
        """
        encoded = msgspec.json.encode(body)
        response = await self._fetch(path, 'POST', encoded, seconds)
        return _decode(response, kind)

    async def _fetch(
        self,
        path: str,
        method: str,
        body: bytes | None,
        seconds: float = CONTROL_SECONDS,
    ) -> HTTPResponse:
        request = HTTPRequest(
            f'{self.base_url}{path}',
            method=method,
            body=body,
            connect_timeout=min(seconds, CONTROL_SECONDS),
            request_timeout=seconds,
            follow_redirects=False,
        )
        try:
            return await self.client.fetch(request)
        except HTTPError as error:
            if error.response is not None and error.code < _STATUS_NO_RESPONSE:
                raise BackendStatusError(error.code, str(error)) from error
            raise BackendUnreachableError(str(error)) from error
        except OSError as error:
            raise BackendUnreachableError(str(error)) from error


#: The status that tornado uses if no response was received.
_STATUS_NO_RESPONSE = 599


class BackendStatusError(BackendError):
    """The back end answered with an error status."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def _decode(response: HTTPResponse, kind: type[_Answer]) -> _Answer:
    with translating_errors('answer of the back end', BackendError):
        return msgspec.json.decode(response.body, type=kind)
