"""What the calls to a service of a workspace have in common."""

from sycamore_core.ids import ServiceId, WorkspaceId

from ...intake import Intake
from ..auth import check_workspace, find_service
from ..limits import read_terms
from .base import BodyHandler


class ServiceHandler(BodyHandler):
    """Checks all of a call that does not need its body."""

    def prepare(self) -> None:
        """Check the key, the service, the headers and the length."""
        self.context.check_open()
        self.fleet = self.context.fleet()
        self.workspace = check_workspace(
            self.fleet,
            WorkspaceId(self.path_kwargs['workspace']),
            self.authorization,
        )
        self.service_id = ServiceId(self.path_kwargs['service'])
        service = find_service(self.workspace, self.service_id)
        self.terms = read_terms(
            self.request.headers,
            service,
            self.request.method,
        )
        self.check_length(service.max_body_bytes)

    def make_intake(self) -> Intake:
        """Return what is known of the call before its body is read."""
        return Intake(
            fleet=self.fleet,
            workspace=self.workspace,
            service_id=self.service_id,
            terms=self.terms,
            arrival=self.context.entry.now(),
        )
