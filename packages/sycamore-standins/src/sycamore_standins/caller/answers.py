"""What a caller received, and what is wrong with it."""

import enum
import zlib
from collections.abc import Iterable
from typing import Literal

import msgspec

from ..engine.answers import text_between
from .events import Event

_CLOSE = 'close'
_PROBLEM = 'problem'
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
    #: Fewer or more tokens came than the closing event says.
    TOKENS = 'tokens'
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


class Piece(msgspec.Struct, frozen=True):
    """Content of an event that carries a part of the answer."""

    text: str
    tokens: int = 0


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer in one piece."""

    request_id: str
    outcome: str
    text: str
    frames: int
    checksum: int
    output_tokens: int = 0


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
    tokens
        Number of tokens in the pieces.
    first_token_seconds, total_seconds
        Since the request was sent; 0 if it did not come to that.
    transfer_error
        What the HTTP client said of a connection that broke; else empty.
    """

    def __init__(
        self,
        request_id: str = '',
        pieces: Iterable[str] = (),
        tokens: int = 0,
    ) -> None:
        self.request_id = request_id
        self.status = 0
        self.pieces = list(pieces)
        self.tokens = tokens
        self.closing: Closing | None = None
        self.problem: Problem | None = None
        self.faults: list[Fault] = []
        self.first_token_seconds: float = 0
        self.total_seconds: float = 0
        self.transfer_error = ''

    def __repr__(self) -> str:
        """Return what matters when a test fails."""
        seen = (self.request_id, self.status, self.faults, len(self.pieces))
        ending = (self.closing, self.problem, self.transfer_error)
        return f'Answer({seen}, {ending})'

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
            and self.problem is None
            and not self.faults
        )

    def take(self, event: Event) -> None:
        """Take the next event and note what is wrong with it."""
        if event.kind == _CLOSE:
            self._close(msgspec.json.decode(event.text, type=Closing))
            return
        if event.kind == _PROBLEM:
            self.problem = msgspec.json.decode(event.text, type=Problem)
            return
        if event.number != len(self.pieces):
            self.faults.append(Fault.NUMBERING)
        self.add(msgspec.json.decode(event.text, type=Piece))

    def add(self, piece: Piece) -> None:
        """Add a part of the answer and note if it is not the next."""
        self.pieces.append(piece.text)
        last = self.tokens + piece.tokens
        if piece.text != text_between(self.request_id, self.tokens, last):
            self.faults.append(Fault.FOREIGN)
        self.tokens = last

    def take_document(self, document: Document) -> None:
        """Take a whole answer in one piece."""
        self.request_id = document.request_id
        self.add(Piece(document.text, document.output_tokens))
        self._close(
            Closing(
                outcome=document.outcome,
                frames=len(self.pieces),
                checksum=document.checksum,
                output_tokens=document.output_tokens,
            ),
        )

    def end(self) -> None:
        """Note that the connection is over."""
        if self.problem is None and self.closing is None:
            self.faults.append(Fault.CUT)

    def _close(self, closing: Closing) -> None:
        self.closing = closing
        if closing.frames != len(self.pieces):
            self.faults.append(Fault.COUNT)
        if closing.output_tokens != self.tokens:
            self.faults.append(Fault.TOKENS)
        payloads = ''.join(self.pieces).encode()
        if closing.checksum != zlib.crc32(payloads):
            self.faults.append(Fault.CHECKSUM)
