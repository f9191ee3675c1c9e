"""What a caller received, and what is wrong with it."""

import enum
import zlib
from collections.abc import Iterable
from typing import Literal

import msgspec

from ..engine.answers import step_text
from .events import Event

_CLOSE = 'close'
_REDIRECTION = 300


class Fault(enum.StrEnum):
    """What is wrong with an answer that was received."""

    #: The stream ended without its closing event.
    CUT = 'cut'
    #: An event was missing, came twice or came out of order.
    NUMBERING = 'numbering'
    #: The closing event counts other frames than came.
    COUNT = 'count'
    #: The closing event has another checksum than the payloads.
    CHECKSUM = 'checksum'
    #: A piece is not the text of this request.
    FOREIGN = 'foreign'


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal or failure, as a problem document says it."""

    status: int = 0
    title: str = ''
    reason: str = ''
    not_run: bool | Literal['unknown'] = 'unknown'
    retry_after: float = 0
    request_id: str = ''
    detail: str = ''


class Closing(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the closing event."""

    outcome: str
    frames: int
    checksum: int
    output_tokens: int = 0
    reason: str | None = None


class PlainAnswer(msgspec.Struct, kw_only=True):
    """Answer to a call of a plain service.

    Attributes
    ----------
    status
        Of HTTP; 0 if the connection was lost.
    business_id
        What the service says that the call was about.
    """

    status: int = 0
    request_id: str = ''
    business_id: str = ''
    problem: Problem | None = None

    @property
    def done(self) -> bool:
        """Whether the service answered."""
        return self.problem is None and 0 < self.status < _REDIRECTION


class Answer:
    """Answer to a model request, as far as it has come.

    Attributes
    ----------
    status
        Of HTTP; 0 if the connection was lost before it came.
    pieces
        Payloads of the events, by number.
    first_token_seconds, total_seconds
        Since the request was sent; 0 if it did not come to that.
    """

    def __init__(
        self,
        request_id: str = '',
        pieces: Iterable[str] = (),
    ) -> None:
        self.request_id = request_id
        self.status = 0
        self.pieces = list(pieces)
        self.closing: Closing | None = None
        self.problem: Problem | None = None
        self.faults: list[Fault] = []
        self.first_token_seconds: float = 0
        self.total_seconds: float = 0

    def __repr__(self) -> str:
        """Return what matters when a test fails."""
        seen = (self.request_id, self.status, self.faults, len(self.pieces))
        return f'Answer({seen}, {self.closing}, {self.problem})'

    @property
    def last(self) -> int:
        """Number of the last event that came; -1 if none came."""
        return len(self.pieces) - 1

    @property
    def whole(self) -> bool:
        """Whether the answer is complete, in order and its caller's own."""
        return (
            self.closing is not None
            and self.closing.outcome == 'complete'
            and not self.faults
        )

    def take(self, event: Event) -> None:
        """Take the next event and note what is wrong with it."""
        if event.kind == _CLOSE:
            self._close(msgspec.json.decode(event.text, type=Closing))
            return
        if event.number != len(self.pieces):
            self.faults.append(Fault.NUMBERING)
        if event.text != step_text(self.request_id, event.number):
            self.faults.append(Fault.FOREIGN)
        self.pieces.append(event.text)

    def end(self) -> None:
        """Note that the connection is over."""
        if self.problem is None and self.closing is None:
            self.faults.append(Fault.CUT)

    def _close(self, closing: Closing) -> None:
        self.closing = closing
        if closing.frames != len(self.pieces):
            self.faults.append(Fault.COUNT)
        payloads = ''.join(self.pieces).encode()
        if closing.checksum != zlib.crc32(payloads):
            self.faults.append(Fault.CHECKSUM)
