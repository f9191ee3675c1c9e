"""HTTP calls of which a lost connection is an ordinary answer."""

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

#: Stands for a connection that could not be made or was lost.
LOST = 599
_TIMEOUT_SECONDS = 20.0


async def fetch(
    request: HTTPRequest,
    client: CurlAsyncHTTPClient | None = None,
) -> HTTPResponse:
    """Send a request; return status `LOST` if there was no whole answer."""
    sender = client or CurlAsyncHTTPClient()
    try:
        return await sender.fetch(request, raise_error=False)
    except HTTPClientError:
        return HTTPResponse(request, LOST)


async def get(url: str) -> HTTPResponse:
    """Send a GET as `fetch` does."""
    return await fetch(HTTPRequest(url, request_timeout=_TIMEOUT_SECONDS))
