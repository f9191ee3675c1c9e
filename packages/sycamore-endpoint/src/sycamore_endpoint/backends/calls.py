"""Short calls to a back end: cancelling, orders, reports."""

from typing import Any, TypeVar

import msgspec
from sycamore_core.errors import BackendError
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from ..errors import BackendSilentError

#: Longest a short call may take, in seconds. The back end runs on the same
#: instance and answers in milliseconds; a stuck one must not hold up what
#: waits for the answer.
CONTROL_SECONDS = 2.0

_Answer = TypeVar('_Answer')


class ControlClient:
    """Makes short JSON calls to one back end.

    It has connections of its own, so that a cancellation never waits behind
    streams.
    """

    def __init__(self, base_url: str, client: CurlAsyncHTTPClient) -> None:
        self.base_url = base_url.rstrip('/')
        self.client = client

    async def read(self, path: str, kind: type[_Answer]) -> _Answer:
        """Return the answer to a GET.

        Raises
        ------
        BackendError
            If there is none that can be read.
        """
        response = await self._fetch(path, 'GET', None)
        return _decoded(response, kind)

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
        BackendSilentError
            If there is no answer; the call may have had its effect.
        BackendError
            If the back end refused.
        """
        encoded = msgspec.json.encode(body)
        response = await self._fetch(path, 'POST', encoded, seconds)
        return _decoded(response, kind)

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
            if error.response is not None and error.code < _NO_ANSWER:
                raise RefusedError(error.code, str(error)) from error
            raise BackendSilentError(str(error)) from error
        except OSError as error:
            raise BackendSilentError(str(error)) from error


#: The status by which tornado says that there was no answer at all.
_NO_ANSWER = 599


class RefusedError(BackendError):
    """The back end answered with an error status."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def _decoded(response: HTTPResponse, kind: type[_Answer]) -> _Answer:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError as error:
        raise BackendError(f'not the answer expected: {error}') from error
