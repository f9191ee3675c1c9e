"""What an entry tells operators, as far as tests look at it."""

import msgspec
from sycamore_core.ids import EndpointId, Incarnation
from sycamore_core.messages import LoadReport
from sycamore_core.states import EndpointPhase
from tornado.httpclient import HTTPRequest

from ..client import fetch
from .process import ProcessError

_OK = 200
#: Reports come every second; one that is older may be of a process that has
#: ended since.
_FRESH_SECONDS = 1.5


class LinkView(msgspec.Struct, frozen=True):
    """One endpoint as an entry sees it; no report means silent."""

    endpoint: EndpointId
    incarnation: Incarnation
    report_age: float
    report: LoadReport | None

    @property
    def is_live(self) -> bool:
        """Whether the endpoint reported lately that it takes work."""
        if self.report is None or self.report_age > _FRESH_SECONDS:
            return False
        return self.report.phase == EndpointPhase.LIVE


class EntryView(msgspec.Struct, frozen=True):
    """The fleet as an entry sees it."""

    settings_version: int
    links: tuple[LinkView, ...]

    def live(self) -> set[EndpointId]:
        """Return the endpoints that reported lately that they take work."""
        return {link.endpoint for link in self.links if link.is_live}


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
