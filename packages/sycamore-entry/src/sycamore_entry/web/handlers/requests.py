"""``POST /v1/workspaces/{w}/services/{s}/requests``: run a request."""

from sycamore_core.ids import ServiceId, WorkspaceId

from ...exchanges import Exchange
from ...intake import Intake, make_model_request
from ..auth import check_workspace, find_service
from ..limits import read_terms
from ..prompts import read_prompt
from .base import BodyHandler


class RequestsHandler(BodyHandler):
    """Runs a model request under an id that is minted here."""

    def prepare(self) -> None:
        """Check everything that does not need the body."""
        self.context.check_open()
        self.fleet = self.context.fleet()
        workspace = WorkspaceId(self.path_kwargs['workspace'])
        service = ServiceId(self.path_kwargs['service'])
        self.workspace = check_workspace(
            self.fleet,
            workspace,
            self.authorization,
        )
        self.settings_in_force = find_service(self.workspace, service)
        self.terms = read_terms(self.request.headers, self.settings_in_force)
        self.check_length(self.settings_in_force.max_body_bytes)

    async def post(self, workspace: str, service: str) -> None:
        """Run the request and send its answer."""
        intake = Intake(
            fleet=self.fleet,
            workspace=self.workspace,
            service_id=ServiceId(service),
            terms=self.terms,
            arrival=self.context.entry.now(),
        )
        request = make_model_request(
            intake,
            self.new_request_id(workspace, service),
            read_prompt(self.take_body()),
        )
        exchange = Exchange(self.context.entry, request, self.choose_sink())
        await self.serve(exchange.run())
