"""The body of a caller's request, within the memory of the process."""

from ..flow_control import HeldBytes


class RequestBody:
    """Collects a body, or drops it if the process holds too many bytes.

    A dropped body is read to its end: if the connection were closed before,
    the caller might lose the refusal.

    Attributes
    ----------
    is_dropped
        Whether the body exceeded the memory.

    Examples
    --------
    >>> body = RequestBody(HeldBytes(limit=10))
    >>> body.reserve('11')
    >>> body.add(b'hello')
    >>> body.is_dropped, body.take()
    (True, b'')
    """

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self.is_dropped = False
        self._pieces: list[bytes] = []
        self._received = 0
        self._counted = 0

    def reserve(self, content_length: str) -> None:
        """Count a body of a known length before it arrives."""
        if content_length.isdecimal():
            self._count(int(content_length))

    def add(self, piece: bytes) -> None:
        """Add received bytes."""
        self._received += len(piece)
        self._count(self._received - self._counted)
        if not self.is_dropped:
            self._pieces.append(piece)

    def take(self) -> bytes:
        """Return the complete body, which still counts as held."""
        body = b''.join(self._pieces)
        self._pieces.clear()
        return body

    def release(self) -> None:
        """Count the body no longer."""
        self.held.remove(self._counted)
        self._counted = 0

    def _count(self, size: int) -> None:
        if self.is_dropped or size <= 0:
            return
        if self.held.has_capacity(size):
            self.held.add(size)
            self._counted += size
        else:
            self.is_dropped = True
            self._pieces.clear()
            self.release()
