"""Connections to endpoints that are kept for the next request."""

import asyncio

from sycamore_core.routing import EndpointRecord

from ..wire import WireFormat
from .channel import EndpointChannel

#: Idle time after which a connection is not used again, in seconds, where the
#: endpoint does not say how long it keeps it.
IDLE_SECONDS = 2.0
#: Part of the endpoint's own idle time after which it is not used again: the
#: closing could cross the next request on the way.
_IDLE_PART = 0.6
#: Kept connections to one endpoint at most. An endpoint takes a few hundred
#: from all callers together.
_MOST_KEPT = 8


class ChannelPool:
    """Idle connections by address and lifetime of the endpoint."""

    def __init__(self, wire: WireFormat) -> None:
        self.wire = wire
        self.opened = 0
        self._idle: dict[tuple[str, str], list[EndpointChannel]] = {}

    async def take(
        self,
        record: EndpointRecord,
        *,
        fresh: bool,
    ) -> EndpointChannel:
        """Return a connection to an endpoint.

        Parameters
        ----------
        fresh
            Whether to make a new one: a request that runs at most once must
            not be sent on a kept connection, as one that closes at that
            moment leaves open whether the request ran.

        Raises
        ------
        AttemptError
            If none could be made.
        """
        if not fresh:
            kept = self._take_kept(record)
            if kept is not None:
                return kept
        self.opened += 1
        return await EndpointChannel.connect(
            record.host,
            record.port,
            self.wire,
        )

    def give_back(
        self,
        record: EndpointRecord,
        channel: EndpointChannel,
    ) -> None:
        """Keep a connection whose answer is complete, or close it."""
        kept = self._idle.setdefault(_key(record), [])
        if not channel.is_reusable or len(kept) >= _MOST_KEPT:
            channel.close()
            return
        channel.idle_since = asyncio.get_running_loop().time()
        kept.append(channel)

    def sweep(self) -> None:
        """Close the connections that were idle for too long."""
        now = asyncio.get_running_loop().time()
        for key, kept in tuple(self._idle.items()):
            for channel in tuple(kept):
                if _is_old(channel, now):
                    kept.remove(channel)
                    channel.close()
            if not kept:
                self._idle.pop(key)

    def close(self) -> None:
        """Close all kept connections."""
        for kept in self._idle.values():
            for channel in kept:
                channel.close()
        self._idle.clear()

    def _take_kept(self, record: EndpointRecord) -> EndpointChannel | None:
        kept = self._idle.get(_key(record), [])
        now = asyncio.get_running_loop().time()
        while kept:
            channel = kept.pop()
            if not _is_old(channel, now) and channel.stream.is_clean:
                return channel
            channel.close()
        return None


def _key(record: EndpointRecord) -> tuple[str, str]:
    return record.endpoint, record.address


def _is_old(channel: EndpointChannel, now: float) -> bool:
    longest = IDLE_SECONDS
    if channel.idle_seconds is not None:
        longest = channel.idle_seconds * _IDLE_PART
    return now - channel.idle_since > longest
