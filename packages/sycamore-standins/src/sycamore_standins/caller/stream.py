"""One connection over which an answer comes."""

import time

import msgspec

from .answers import Answer, Document, Problem
from .events import EventParser

_STREAM = 'text/event-stream'
_ID_HEADER = 'request-id:'


class Stream:
    """One connection over which events come."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.parser = EventParser()
        self.is_stream = False
        self.rest = b''
        self.started = time.monotonic()

    def on_header(self, line: str) -> None:
        """Take one line of the head of the answer."""
        lowered = line.strip().lower()
        if lowered.startswith('http/'):
            self.answer.status = int(lowered.split()[1])
        if lowered.startswith(_ID_HEADER):
            _, _, request_id = line.partition(':')
            self.answer.request_id = request_id.strip()
        if _STREAM in lowered:
            self.is_stream = True

    def on_chunk(self, chunk: bytes) -> None:
        """Take some bytes of the body.

        The HTTP client hands header lines on in the next turn of its loop,
        but the bytes of an answer that has ended at once. Until the headers
        have come, it is not known what the bytes are: they are kept.
        """
        self.rest += chunk
        if self.is_stream:
            self._take_events()

    def finish(self) -> Answer:
        """Return the answer once the connection is over."""
        self.answer.total_seconds = self.elapsed()
        if self.is_stream:
            self._take_events()
        else:
            self._read_rest()
        self.answer.end()
        return self.answer

    def elapsed(self) -> float:
        """Return the seconds since the request was sent."""
        return time.monotonic() - self.started

    def _take_events(self) -> None:
        chunk = self.rest
        self.rest = b''
        for event in self.parser.feed(chunk):
            if self.answer.first_token_seconds == 0:
                self.answer.first_token_seconds = self.elapsed()
            self.answer.take(event)

    def _read_rest(self) -> None:
        document = read_document(self.rest)
        if document is None:
            self.answer.problem = read_problem(self.rest)
        else:
            self.answer.take_document(document)


def read_problem(body: bytes) -> Problem | None:
    """Return the problem document in a body, if it is one."""
    if not body:
        return None
    try:
        return msgspec.json.decode(body, type=Problem)
    except msgspec.DecodeError:
        return Problem(title='unreadable', detail=body.decode(errors='replace'))


def read_document(body: bytes) -> Document | None:
    """Return the whole answer in a body, if it is one."""
    try:
        return msgspec.json.decode(body, type=Document)
    except msgspec.DecodeError:
        return None
