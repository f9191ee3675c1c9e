"""Base class of handlers for calls to a service of a workspace."""

from sycamore_core.ids import ServiceId, WorkspaceId

from ...incoming_call import CheckedCall
from ..auth import check_workspace, find_service
from ..limits import read_terms
from .base import BodyHandler


class ServiceHandler(BodyHandler):
    """Checks all parts of a call that precede its body."""

    def prepare(self) -> None:
        """Check the key, the service, the headers and the length."""
        self.context.check_not_draining()
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
        self.set_body_limit(service.max_body_bytes)

    def make_checked_call(self) -> CheckedCall:
        """Return the checked call, without its body."""
        return CheckedCall(
            fleet=self.fleet,
            workspace=self.workspace,
            service_id=self.service_id,
            terms=self.terms,
            arrival=self.context.entry.now(),
        )
