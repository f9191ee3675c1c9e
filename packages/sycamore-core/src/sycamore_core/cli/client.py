"""HTTP client for the operator endpoints of an entry process."""

import functools

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.ioloop import IOLoop

from ..errors import PlatformError
from .exits import RefusedByEntryError

#: An entry answers operators immediately, so that a longer wait means that it
#: cannot be reached.
TIMEOUT_SECONDS = 10.0
_HTTP_OK = 200


class _Problem(msgspec.Struct, frozen=True):
    """The fields of a refusal that are shown to an operator."""

    reason: str = 'no reason given'
    detail: str = ''


def query_entry(entry: str, path: str, key: str) -> bytes:
    """Return the JSON answer of an entry to an operator request.

    Parameters
    ----------
    entry
        Address of the entry, such as ``http://10.0.0.1:8080``.
    path
        Path of the resource below ``/v1/operator``.
    key
        The operator's key.

    Raises
    ------
    PlatformError
        If the entry cannot be reached or does not answer.
    RefusedByEntryError
        If the entry refuses the request.
    """
    base = entry.rstrip('/')
    request = HTTPRequest(
        f'{base}/v1/operator/{path}',
        headers={'Authorization': f'Bearer {key}'},
        connect_timeout=TIMEOUT_SECONDS,
        request_timeout=TIMEOUT_SECONDS,
    )
    loop = IOLoop(make_current=False)
    try:
        response = loop.run_sync(functools.partial(_fetch, request))
    except (HTTPClientError, OSError) as error:
        raise PlatformError(f'{base}: {error}') from error
    finally:
        loop.close()
    if response.code != _HTTP_OK:
        raise RefusedByEntryError(_refusal_message(response))
    return response.body


async def _fetch(request: HTTPRequest) -> HTTPResponse:
    client = CurlAsyncHTTPClient(force_instance=True)
    try:
        return await client.fetch(request, raise_error=False)
    finally:
        client.close()


def _refusal_message(response: HTTPResponse) -> str:
    try:
        problem = msgspec.json.decode(response.body, type=_Problem)
    except msgspec.DecodeError:
        problem = _Problem()
    return f'status {response.code}: {problem.reason} {problem.detail}'.rstrip()
