"""``POST /v1/workspaces/{w}/services/{s}/reservations``: reserve an id."""

import random

import msgspec
from sycamore_core.ids import RequestId, ServiceId, WorkspaceId
from sycamore_core.states import EndpointPhase

from ...fleet import EndpointLink
from ..auth import check_workspace, find_service
from .base import BaseHandler

_CREATED = 201


class ReservationBody(msgspec.Struct, frozen=True):
    """The reserved id, and its remaining validity in seconds."""

    request_id: RequestId
    expires_in: float


class ReservationsHandler(BaseHandler):
    """Reserves an id that an endpoint process mints."""

    async def post(self, workspace: str, service: str) -> None:
        """Answer with the id."""
        self.context.check_not_draining()
        fleet = self.context.fleet()
        known = check_workspace(
            fleet,
            WorkspaceId(workspace),
            self.authorization,
        )
        find_service(known, ServiceId(service))
        names = [endpoint.endpoint for endpoint in fleet.endpoints_of(service)]
        links = [self.context.entry.links.find(name) for name in names]
        reserved = await self.context.reservations.reserve(
            _by_load([link for link in links if link is not None]),
            known.workspace,
            ServiceId(service),
        )
        self.set_status(_CREATED)
        self.set_header('Request-Id', reserved.request_id)
        self.write_json(
            ReservationBody(reserved.request_id, reserved.expires_in),
        )


def _by_load(links: list[EndpointLink]) -> list[EndpointLink]:
    """Shuffle live endpoints; the less loaded of the first two leads."""
    live = [
        link
        for link in links
        if link.report is not None and link.report.phase == EndpointPhase.LIVE
    ]
    random.shuffle(live)
    first_two = sorted(live[:2], key=_request_count)
    return first_two + live[2:]


def _request_count(link: EndpointLink) -> int:
    report = link.report
    return 0 if report is None else report.running + report.waiting
