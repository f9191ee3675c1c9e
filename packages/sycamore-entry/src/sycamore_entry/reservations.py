"""Reservation of request ids, minted by an endpoint process before a run."""

import asyncio
import secrets
from collections.abc import Sequence

from sycamore_core.ids import ServiceId, WorkspaceId
from sycamore_core.messages import Reserve, Reserved
from sycamore_core.states import RefusalReason

from .errors import RefusedError
from .fleet import EndpointLink

#: Timeout after which the next endpoint process is asked. A reply takes
#: milliseconds.
RESERVE_TIMEOUT_SECONDS = 1.0
_NONCE_BYTES = 8
_RETRY_AFTER_SECONDS = 1.0


class Reservations:
    """Requests ids from endpoint processes and waits for their replies."""

    def __init__(self) -> None:
        self._pending: dict[str, asyncio.Future[Reserved]] = {}

    def handle_answer(self, reserved: Reserved) -> None:
        """Handle the reply of an endpoint process."""
        future = self._pending.get(reserved.nonce)
        if future is not None and not future.done():
            future.set_result(reserved)

    async def reserve(
        self,
        links: Sequence[EndpointLink],
        workspace: WorkspaceId,
        service: ServiceId,
    ) -> Reserved:
        """Return an id minted by the first endpoint process that replies.

        Parameters
        ----------
        links
            Endpoints of the service, in the order in which to ask them.

        Raises
        ------
        RefusedError
            If no endpoint replies.
        """
        for link in links:
            reserved = await self._ask(link, workspace, service)
            if reserved is not None:
                return reserved
        raise RefusedError(
            RefusalReason.NO_ENDPOINT,
            'no endpoint of the service answers',
            retry_after=_RETRY_AFTER_SECONDS,
        )

    async def _ask(
        self,
        link: EndpointLink,
        workspace: WorkspaceId,
        service: ServiceId,
    ) -> Reserved | None:
        nonce = secrets.token_hex(_NONCE_BYTES)
        future: asyncio.Future[Reserved] = asyncio.Future()
        self._pending[nonce] = future
        link.post(Reserve(nonce, workspace, service))
        try:
            async with asyncio.timeout(RESERVE_TIMEOUT_SECONDS):
                return await future
        except TimeoutError:
            return None
        finally:
            self._pending.pop(nonce)
