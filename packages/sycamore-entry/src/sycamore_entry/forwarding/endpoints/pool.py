"""Pool of idle connections to endpoints."""

import asyncio

from sycamore_core.ids import EndpointId
from sycamore_core.routing import EndpointRecord

from ..errors import NoDescriptorError
from ..flow_control import FlowControl
from ..wire import WireFormat
from .channel import EndpointChannel

#: Idle time after which a connection is not reused, in seconds, if the endpoint
#: does not name its own idle timeout.
IDLE_SECONDS = 2.0
#: Share of the endpoint's own idle timeout after which a connection is not
#: reused. Later, the endpoint could close it while the next request is on its
#: way.
_IDLE_SHARE = 0.6
#: Largest number of idle connections to one endpoint. An endpoint accepts a few
#: hundred connections in all.
_MAX_IDLE_CONNECTIONS = 8


class ChannelPool:
    """Idle connections by endpoint and address.

    Attributes
    ----------
    flow
        Bounds the bytes that the connections hold.
    opened
        Number of connections that were opened.
    """

    def __init__(self, wire: WireFormat) -> None:
        self.wire = wire
        self.flow = FlowControl()
        self.opened = 0
        self._idle: dict[tuple[str, str], list[EndpointChannel]] = {}

    async def acquire(
        self,
        record: EndpointRecord,
        *,
        fresh: bool,
    ) -> EndpointChannel:
        """Return a connection to an endpoint.

        Parameters
        ----------
        fresh
            Whether to open a new connection. A request that runs at most once
            must not be sent on an idle connection: if the endpoint closes it
            at that moment, it is unknown whether the request has run.

        Raises
        ------
        AttemptError
            If the endpoint could not be connected to.
        """
        if not fresh:
            channel = self._pop_idle(record)
            if channel is not None:
                return channel
        self.opened += 1
        return await self._connect(record)

    def release(
        self,
        record: EndpointRecord,
        channel: EndpointChannel,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        idle = self._idle.setdefault(_key(record), [])
        if not channel.is_reusable or len(idle) >= _MAX_IDLE_CONNECTIONS:
            channel.close()
            return
        channel.idle_since = asyncio.get_running_loop().time()
        idle.append(channel)

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        now = asyncio.get_running_loop().time()
        for key, idle in tuple(self._idle.items()):
            for channel in tuple(idle):
                if _is_expired(channel, now):
                    idle.remove(channel)
                    channel.close()
            if not idle:
                self._idle.pop(key)

    def close_endpoint(self, endpoint: EndpointId) -> None:
        """Close the idle connections to an endpoint, at all its addresses."""
        for key in tuple(self._idle):
            if key[0] == endpoint:
                for channel in self._idle.pop(key):
                    channel.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for channel in idle:
                channel.close()
        self._idle.clear()

    async def _connect(self, record: EndpointRecord) -> EndpointChannel:
        try:
            return await self._open(record)
        except NoDescriptorError:
            # Idle connections to other endpoints hold the descriptors.
            self.close()
        return await self._open(record)

    async def _open(self, record: EndpointRecord) -> EndpointChannel:
        return await EndpointChannel.connect(
            record.host, record.port, self.wire, self.flow
        )

    def _pop_idle(self, record: EndpointRecord) -> EndpointChannel | None:
        idle = self._idle.get(_key(record), [])
        now = asyncio.get_running_loop().time()
        while idle:
            channel = idle.pop()
            if not _is_expired(channel, now) and channel.stream.is_clean:
                return channel
            channel.close()
        return None


def _key(record: EndpointRecord) -> tuple[str, str]:
    return record.endpoint, record.address


def _is_expired(channel: EndpointChannel, now: float) -> bool:
    longest = IDLE_SECONDS
    if channel.idle_seconds is not None:
        longest = channel.idle_seconds * _IDLE_SHARE
    return now - channel.idle_since > longest
