"""HTTP clients of the platform's services."""

import asyncio
from collections.abc import Sequence

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPResponse
from tornado.httputil import url_concat

from ..error_translation import translating_errors
from ..errors import PlatformError
from ..ids import SettingsVersion
from .sources import (
    InstanceEntry,
    InstanceSource,
    PublishedSettings,
    SettingsSource,
)
from .transfer import PlatformResponse, Transfer

#: Connect timeout, in seconds. The platform answers in milliseconds; after two
#: seconds without a connection it is down or unreachable.
CONNECT_TIMEOUT_SECONDS = 2.0
#: Time allowed for a response beyond the requested wait, in seconds.
RESPONSE_TIMEOUT_SECONDS = 5.0
#: Time after which a response that makes progress is given up all the same, in
#: seconds. One that is sent byte by byte would hold its connection for ever.
LONGEST_TRANSFER_SECONDS = 30.0
_VERSION_HEADER = 'Settings-Version'
_HTTP_OK = 200
_HTTP_NOT_MODIFIED = 304


class PlatformHttp:
    """Makes GET calls to one of the platform's services.

    Parameters
    ----------
    base_url
        Such as ``http://10.0.0.1:8080``.
    response_timeout
        Time allowed for a response beyond the requested wait, and for each
        pause in a response that has begun, in seconds.
    """

    def __init__(
        self,
        base_url: str,
        response_timeout: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> None:
        self.base_url = base_url.rstrip('/')
        self.response_timeout = response_timeout
        self._client = CurlAsyncHTTPClient(force_instance=True)
        self._transfers: set[Transfer] = set()
        self._has_failed = False

    @property
    def is_receiving(self) -> bool:
        """Whether a part of an answer has arrived, and more may follow."""
        return any(transfer.is_receiving for transfer in self._transfers)

    async def get(
        self,
        path: str,
        wait_seconds: float = 0,
        answer_seconds: float | None = None,
    ) -> PlatformResponse:
        """Return the response to a GET call, whatever its status.

        Parameters
        ----------
        answer_seconds
            Time allowed for the first byte beyond the requested wait, in
            seconds; None for the response timeout.

        Raises
        ------
        PlatformError
            If there is no response, or it stops midway.
        """
        if answer_seconds is None:
            answer_seconds = self.response_timeout
        transfer = Transfer(
            wait_seconds + answer_seconds, self.response_timeout
        )
        # Connections that wait, or on which a call has failed, may be silent.
        transfer.needs_connection = self._has_failed or bool(self._transfers)
        self._transfers.add(transfer)
        try:
            response = await transfer.wait(
                self._fetch(path, wait_seconds, transfer)
            )
        except (HTTPClientError, OSError, ValueError) as error:
            self._has_failed = True
            message = f'GET {self.base_url}{path}: {error}'
            raise PlatformError(message) from error
        finally:
            transfer.abandon()
            self._transfers.discard(transfer)
        self._has_failed = False
        return response

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _fetch(
        self, path: str, wait_seconds: float, transfer: Transfer
    ) -> asyncio.Future[HTTPResponse]:
        return self._client.fetch(
            f'{self.base_url}{path}',
            raise_error=False,
            connect_timeout=min(CONNECT_TIMEOUT_SECONDS, self.response_timeout),
            request_timeout=wait_seconds + LONGEST_TRANSFER_SECONDS,
            streaming_callback=transfer.receive,
            prepare_curl_callback=transfer.prepare,
        )


class HttpSettingsSource(SettingsSource):
    """Reads and watches the settings service over HTTP.

    Parameters
    ----------
    base_url
        Such as ``http://10.0.0.1:8080``; ``/v1/settings`` is added to it.
    """

    def __init__(self, base_url: str) -> None:
        self._http = PlatformHttp(base_url)

    async def read_above(
        self,
        version: SettingsVersion,
        wait_seconds: float,
    ) -> PublishedSettings | None:
        """Return a version above `version`, or None after `wait_seconds`."""
        path = url_concat(
            '/v1/settings',
            {'above': str(version), 'wait': str(wait_seconds)},
        )
        response = await self._http.get(path, wait_seconds)
        if response.code == _HTTP_NOT_MODIFIED:
            return None
        if response.code != _HTTP_OK:
            raise PlatformError(f'settings service: status {response.code}')
        return PublishedSettings(_read_version(response), response.body)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()


class HttpInstanceSource(InstanceSource):
    """Reads the list of live and leaving instances over HTTP.

    Parameters
    ----------
    base_url
        Such as ``http://10.0.0.1:8080``; ``/v1/instances`` is added to it.
    """

    def __init__(self, base_url: str) -> None:
        self._http = PlatformHttp(base_url)
        self._decoder = msgspec.json.Decoder(tuple[InstanceEntry, ...])

    async def read(self) -> Sequence[InstanceEntry]:
        """Return the current list."""
        response = await self._http.get('/v1/instances')
        if response.code != _HTTP_OK:
            raise PlatformError(f'list of instances: status {response.code}')
        with translating_errors('list of instances', PlatformError):
            return self._decoder.decode(response.body)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()


def _read_version(response: PlatformResponse) -> SettingsVersion:
    text = response.headers.get(_VERSION_HEADER, '')
    try:
        return SettingsVersion(int(text))
    except ValueError as error:
        raise PlatformError(
            f'settings service: {_VERSION_HEADER} is {text!r}',
        ) from error
