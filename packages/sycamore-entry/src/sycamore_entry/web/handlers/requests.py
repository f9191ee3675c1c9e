"""``POST /v1/workspaces/{w}/services/{s}/requests``: run a request."""

from ...exchanges import Exchange
from ...intake import make_model_request
from ..prompts import read_prompt
from .service import ServiceHandler


class RequestsHandler(ServiceHandler):
    """Runs a model request under an id that is minted here."""

    async def post(self, workspace: str, service: str) -> None:
        """Run the request and send its answer."""
        request = make_model_request(
            self.make_intake(),
            self.new_request_id(workspace, service),
            read_prompt(self.take_body()),
        )
        exchange = Exchange(self.context.entry, request, self.choose_sink())
        await self.serve(exchange.run())
