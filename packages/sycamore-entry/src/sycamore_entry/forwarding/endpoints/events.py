r"""Splits a stream of server-sent events into complete events.

An endpoint may die in the middle of an event, after which another endpoint
resumes the stream. If bytes were forwarded as they arrive, half an event would
stand before the next event, and the caller would read a corrupted event. Only
complete events are therefore forwarded.
"""

import msgspec
from sycamore_core.decisions.direct import AttemptEnd

from ..errors import AttemptError
from ..flow_control import CONNECTION_BYTES

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'
#: Longest numeric id; the interpreter does not convert any number of digits.
_MAX_ID_DIGITS = 18


class StreamEvent(msgspec.Struct, frozen=True):
    """One server-sent event.

    Attributes
    ----------
    number
        Numeric id of the event; -1 if it has none.
    payload
        Bytes of the event, including the empty line at its end.
    """

    number: int
    payload: bytes


class EventSplitter:
    r"""Buffers bytes until an event is complete.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 7\ndata: he')
    []
    >>> splitter.feed(b'llo\n\n')
    [StreamEvent(number=7, payload=b'id: 7\ndata: hello\n\n')]
    """

    def __init__(self) -> None:
        self.remainder = b''

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that the bytes complete.

        Raises
        ------
        AttemptError
            If an event is too long to be held.
        """
        # Both forms of line ends may occur; an event ends at an empty line.
        pending = self.remainder + received
        if b'\r' in pending:
            pending = pending.replace(b'\r\n', b'\n')
        blocks = pending.split(_SEPARATOR)
        self.remainder = blocks.pop()
        if len(self.remainder) > CONNECTION_BYTES:
            # A faulty endpoint may send bytes without end.
            raise AttemptError(
                AttemptEnd.BROKEN, 'an event is too long to be held'
            )
        return [_parse_event(block) for block in blocks if block]


def _parse_event(block: bytes) -> StreamEvent:
    number = -1
    for line in block.split(b'\n'):
        if line.startswith(_ID_FIELD):
            number = _parse_id(line.removeprefix(_ID_FIELD).strip())
    return StreamEvent(number, block + _SEPARATOR)


def _parse_id(text: bytes) -> int:
    is_short = len(text) <= _MAX_ID_DIGITS
    return int(text) if is_short and text.isdigit() else -1
