"""Reading of a stream of server-sent events, as it arrives."""

import msgspec

_MESSAGE = 'message'


class Event(msgspec.Struct, frozen=True):
    """One event.

    Attributes
    ----------
    number
        What its line ``id:`` said; -1 if there was none.
    kind
        What its line ``event:`` said.
    """

    number: int = -1
    kind: str = _MESSAGE
    text: str = ''


class EventParser:
    r"""Cuts received bytes into events.

    Examples
    --------
    >>> parser = EventParser()
    >>> parser.feed(b'id: 0\ndata: he')
    []
    >>> parser.feed(b'llo\n\n')
    [Event(number=0, kind='message', text='hello')]
    """

    def __init__(self) -> None:
        self._held = b''

    def feed(self, received: bytes) -> list[Event]:
        """Return the events that the bytes complete."""
        self._held += received.replace(b'\r\n', b'\n')
        blocks = self._held.split(b'\n\n')
        self._held = blocks.pop()
        return [_parse(block.decode()) for block in blocks if block]


def _parse(block: str) -> Event:
    fields: dict[str, str] = {}
    for line in block.split('\n'):
        name, _, text = line.partition(':')
        text = text.removeprefix(' ')
        fields[name] = f'{fields[name]}\n{text}' if name in fields else text
    return Event(
        number=int(fields.get('id', '-1')),
        kind=fields.get('event', _MESSAGE),
        text=fields.get('data', ''),
    )
