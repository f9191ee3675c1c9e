"""Reading of the settings service, until the shared keeper is there."""

import asyncio
from collections.abc import Callable

from sycamore_core.errors import SettingsError
from sycamore_core.settings import FleetSettings, resolve_tree
from sycamore_core.telemetry import Log
from tornado.curl_httpclient import CurlAsyncHTTPClient

WATCH_SECONDS = 5
PAUSE_SECONDS = 0.5


async def watch_settings(
    base_url: str,
    adopt: Callable[[FleetSettings], None],
) -> None:
    """Hand each newer settings tree on until cancelled."""
    client = CurlAsyncHTTPClient(force_instance=True)
    log = Log('endpoint.settings')
    version = 0
    while True:
        url = f'{base_url}/v1/settings?above={version}&wait={WATCH_SECONDS}'
        response = await client.fetch(url, raise_error=False)
        if response.code != 200:
            await asyncio.sleep(PAUSE_SECONDS)
            continue
        try:
            fleet = resolve_tree(response.body)
            adopt(fleet)
        except SettingsError as error:
            log.error('settings_refused', error=str(error))
        else:
            version = fleet.version
