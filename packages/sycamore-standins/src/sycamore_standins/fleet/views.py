"""What an entry tells operators, as far as tests look at it."""

import msgspec
from sycamore_core.ids import EndpointId, Incarnation
from sycamore_core.messages import LoadReport
from tornado.httpclient import HTTPRequest

from ..client import fetch
from .process import ProcessError

_OK = 200


class LinkView(msgspec.Struct, frozen=True):
    """One endpoint as an entry sees it; no report means silent."""

    endpoint: EndpointId
    incarnation: Incarnation
    report: LoadReport | None


class EntryView(msgspec.Struct, frozen=True):
    """The fleet as an entry sees it."""

    settings_version: int
    links: tuple[LinkView, ...]

    def reported(self) -> set[EndpointId]:
        """Return the endpoints that have reported."""
        return {link.endpoint for link in self.links if link.report is not None}


async def read_view(url: str, operator_key: str) -> EntryView:
    """Return what an operator sees of the fleet through an entry.

    Raises
    ------
    ProcessError
        If the entry does not answer.
    """
    request = HTTPRequest(
        f'{url}/v1/operator/fleet',
        headers={'Authorization': f'Bearer {operator_key}'},
    )
    response = await fetch(request)
    if response.code != _OK:
        raise ProcessError(f'{url}: {response.code}')
    return msgspec.json.decode(response.body, type=EntryView)
