"""``POST /v1/workspaces/{w}/services/{s}/requests``: run a request."""

from ...exchanges import Exchange
from ...incoming_call import make_model_request
from ..prompts import read_prompt
from .service import ServiceHandler


class RequestsHandler(ServiceHandler):
    """Runs a model request under an id minted by this entry."""

    async def post(self, workspace: str, service: str) -> None:
        """Run the request and send its answer."""
        request = make_model_request(
            self.make_checked_call(),
            self.new_request_id(workspace, service),
            read_prompt(self.pop_body()),
        )
        exchange = Exchange(self.context.entry, request, self.make_sink())
        await self.serve(exchange.run())
