"""Readers of the platform's services by HTTP."""

from collections.abc import Sequence

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPResponse
from tornado.httputil import url_concat

from ..errors import PlatformError
from ..ids import SettingsVersion
from .sources import (
    InstanceEntry,
    InstanceSource,
    PublishedSettings,
    SettingsSource,
)

#: The platform answers in milliseconds; two seconds without a connection mean
#: that it is down or cut off.
CONNECT_SECONDS = 2.0
#: Time given to an answer beyond the time for which it was asked to wait.
ANSWER_SECONDS = 5.0
_VERSION_HEADER = 'Settings-Version'
_HTTP_OK = 200
_HTTP_NOT_MODIFIED = 304


class PlatformHttp:
    """Makes GET calls to one of the platform's services.

    Parameters
    ----------
    base_url
        Such as ``http://10.0.0.1:8080``.
    answer_seconds
        Time given to an answer beyond the time for which it was asked to
        wait.
    """

    def __init__(
        self,
        base_url: str,
        answer_seconds: float = ANSWER_SECONDS,
    ) -> None:
        self.base_url = base_url.rstrip('/')
        self.answer_seconds = answer_seconds
        self._client = CurlAsyncHTTPClient(force_instance=True)

    async def get(self, path: str, wait_seconds: float = 0) -> HTTPResponse:
        """Return the answer to a call, whatever its status is.

        Raises
        ------
        PlatformError
            If no answer came.
        """
        url = f'{self.base_url}{path}'
        try:
            return await self._client.fetch(
                url,
                raise_error=False,
                connect_timeout=min(CONNECT_SECONDS, self.answer_seconds),
                request_timeout=wait_seconds + self.answer_seconds,
            )
        except (HTTPClientError, OSError, ValueError) as error:
            raise PlatformError(f'GET {url}: {error}') from error

    def close(self) -> None:
        """Drop all connections."""
        self._client.close()


class HttpSettingsSource(SettingsSource):
    """Reads and watches the settings service by HTTP.

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
        return PublishedSettings(_version_of(response), response.body)

    def close(self) -> None:
        """Drop all connections."""
        self._http.close()


class HttpInstanceSource(InstanceSource):
    """Reads the list of live and leaving instances by HTTP.

    Parameters
    ----------
    base_url
        Such as ``http://10.0.0.1:8080``; ``/v1/instances`` is added to it.
    """

    def __init__(self, base_url: str) -> None:
        self._http = PlatformHttp(base_url)
        self._decoder = msgspec.json.Decoder(tuple[InstanceEntry, ...])

    async def read(self) -> Sequence[InstanceEntry]:
        """Return the list as the platform has it now."""
        response = await self._http.get('/v1/instances')
        if response.code != _HTTP_OK:
            raise PlatformError(f'list of instances: status {response.code}')
        try:
            return self._decoder.decode(response.body)
        except msgspec.DecodeError as error:
            raise PlatformError(f'list of instances: {error}') from error

    def close(self) -> None:
        """Drop all connections."""
        self._http.close()


def _version_of(response: HTTPResponse) -> SettingsVersion:
    text = response.headers.get(_VERSION_HEADER, '')
    try:
        return SettingsVersion(int(text))
    except ValueError as error:
        raise PlatformError(
            f'settings service: {_VERSION_HEADER} is {text!r}',
        ) from error
