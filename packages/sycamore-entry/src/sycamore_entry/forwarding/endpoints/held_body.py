"""The body of an answer that is forwarded only when it is complete."""

from types import TracebackType
from typing import Self

from ..errors import AttemptError
from ..flow_control import CONNECTION_BYTES, HeldBytes
from .channel import EndpointChannel

#: Longest answer that is held until it is complete, in bytes. As much is read
#: from the connection meanwhile.
WHOLE_BYTES = CONNECTION_BYTES // 2


class HeldBody:
    """Reads a body and counts its bytes as held, within a `with` block."""

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self._size = 0
        self._chunks: list[bytes] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._chunks.clear()
        self.held.remove(self._size)

    def take(self) -> bytes:
        """Return what has been read, which is not kept."""
        body = b''.join(self._chunks)
        self._chunks.clear()
        return body

    async def read(self, channel: EndpointChannel) -> bool:
        """Read a body; return whether it is complete.

        Reading stops once the body is too long to be held.

        Raises
        ------
        AttemptError
            If the connection ends before the body is complete.
        """
        try:
            return await self._read(channel)
        except AttemptError:
            # An attempt that was given up may go on.
            channel.reader.put_back(self.take())
            raise

    async def _read(self, channel: EndpointChannel) -> bool:
        chunk = await channel.read_chunk()
        while chunk:
            self._chunks.append(chunk)
            self._size += len(chunk)
            self.held.add(len(chunk))
            if self._size > WHOLE_BYTES:
                return False
            chunk = await channel.read_chunk()
        return True
