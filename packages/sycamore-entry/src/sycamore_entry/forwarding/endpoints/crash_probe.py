"""Distinguishes the crash of an endpoint from the loss of a connection."""

import asyncio

from sycamore_core.routing import EndpointLifetime, EndpointRecord

from .time_limit import run_within

#: Timeout of the probe's connection, in seconds. A host whose process has ended
#: refuses at once; a host without power does not answer.
_PROBE_SECONDS = 0.25


class CrashProbe:
    """Checks whether endpoints that broke a connection still listen.

    Dozens of requests may break at one endpoint; it is probed only once.

    Attributes
    ----------
    pending
        Probes that have no result yet, by endpoint.
    """

    def __init__(self) -> None:
        self.pending: dict[EndpointLifetime, asyncio.Task[bool]] = {}

    async def has_crashed(self, record: EndpointRecord) -> bool:
        """Return whether the process of an endpoint has ended.

        An endpoint that cannot be reached may be disconnected or without
        power, and does not count as crashed.
        """
        task = self.pending.get(record.lifetime)
        if task is None:
            task = asyncio.create_task(_refuses_connection(record))
            self.pending[record.lifetime] = task
            task.add_done_callback(
                lambda _: self.pending.pop(record.lifetime, None),
            )
        return await asyncio.shield(task)


async def _refuses_connection(record: EndpointRecord) -> bool:
    """Return whether nothing listens at the address of an endpoint."""
    try:
        connecting = asyncio.open_connection(record.host, record.port)
        _, writer = await run_within(connecting, _PROBE_SECONDS)
    except ConnectionError:
        return True
    except (TimeoutError, OSError):
        # The attempt logs the lost connection. Silence is no sign of a crash.
        return False
    writer.close()
    return False
