r"""Cuts a stream of server-sent events into whole events.

What goes wrong: an endpoint dies in the middle of an event, and another one
goes on with the stream. Handed on as they come, the bytes of half an event
would stand before the next one, and the caller would read a piece that nobody
wrote. Only whole events are therefore handed on.
"""

import msgspec

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'


class StreamEvent(msgspec.Struct, frozen=True):
    """One event.

    Attributes
    ----------
    number
        Its id; -1 if it has none that is a number.
    payload
        Its bytes, the empty line at its end included.
    """

    number: int
    payload: bytes


class EventCutter:
    r"""Collects bytes until an event is whole.

    Examples
    --------
    >>> cutter = EventCutter()
    >>> cutter.feed(b'id: 7\ndata: he')
    []
    >>> cutter.feed(b'llo\n\n')
    [StreamEvent(number=7, payload=b'id: 7\ndata: hello\n\n')]
    """

    def __init__(self) -> None:
        self.rest = b''

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that the bytes complete."""
        # Line ends of both forms may mix; an event ends at an empty line.
        pending = self.rest + received
        if b'\r' in pending:
            pending = pending.replace(b'\r\n', b'\n')
        blocks = pending.split(_SEPARATOR)
        self.rest = blocks.pop()
        return [_read(block) for block in blocks if block]


def _read(block: bytes) -> StreamEvent:
    number = -1
    for line in block.split(b'\n'):
        if line.startswith(_ID_FIELD):
            number = _number_of(line.removeprefix(_ID_FIELD).strip())
    return StreamEvent(number, block + _SEPARATOR)


def _number_of(text: bytes) -> int:
    return int(text) if text.isdigit() else -1
