"""Reservations: ids that an endpoint process mints before anything runs."""

import asyncio
import secrets
from collections.abc import Sequence

from sycamore_core.ids import ServiceId, WorkspaceId
from sycamore_core.messages import Reserve, Reserved
from sycamore_core.states import RefusalReason

from .errors import RefusedError
from .fleet import EndpointLink

#: An endpoint process answers in milliseconds; the next one is asked after.
RESERVE_SECONDS = 1.0
_NONCE_BYTES = 8
_COME_BACK_SECONDS = 1.0


class Reservations:
    """Asks endpoint processes for ids and waits for their answers."""

    def __init__(self) -> None:
        self._waiting: dict[str, asyncio.Future[Reserved]] = {}

    def answered(self, reserved: Reserved) -> None:
        """Take an answer of an endpoint process."""
        future = self._waiting.get(reserved.nonce)
        if future is not None and not future.done():
            future.set_result(reserved)

    async def reserve(
        self,
        links: Sequence[EndpointLink],
        workspace: WorkspaceId,
        service: ServiceId,
    ) -> Reserved:
        """Return an id minted by the first endpoint process that answers.

        Parameters
        ----------
        links
            Endpoints of the service, in the order in which to ask them.

        Raises
        ------
        RefusedError
            If none of them answers.
        """
        for link in links:
            reserved = await self._ask(link, workspace, service)
            if reserved is not None:
                return reserved
        raise RefusedError(
            RefusalReason.NO_ENDPOINT,
            'no endpoint of the service answers',
            retry_after=_COME_BACK_SECONDS,
        )

    async def _ask(
        self,
        link: EndpointLink,
        workspace: WorkspaceId,
        service: ServiceId,
    ) -> Reserved | None:
        nonce = secrets.token_hex(_NONCE_BYTES)
        future: asyncio.Future[Reserved] = asyncio.Future()
        self._waiting[nonce] = future
        link.post(Reserve(nonce, workspace, service))
        try:
            async with asyncio.timeout(RESERVE_SECONDS):
                return await future
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(nonce)
