"""What a caller finds wrong with an answer."""

import zlib

import msgspec
import pytest

from ..caller import Answer, Event, Fault
from ..caller.stream import Stream
from ..engine.answers import step_text


def closing(frames: int, text: str) -> Event:
    body = {
        'outcome': 'complete',
        'frames': frames,
        'checksum': zlib.crc32(text.encode()),
        'output_tokens': frames,
    }
    return Event(frames, 'close', msgspec.json.encode(body).decode())


def own(number: int) -> Event:
    return piece('mine', number)


def piece(request_id: str, number: int) -> Event:
    body = {'text': step_text(request_id, number), 'tokens': 1}
    return Event(number, 'tokens', msgspec.json.encode(body).decode())


def taken(*events: Event) -> Answer:
    answer = Answer('mine')
    for event in events:
        answer.take(event)
    answer.end()
    return answer


WHOLE = step_text('mine', 0) + step_text('mine', 1)


def test_whole_answer() -> None:
    assert taken(own(0), own(1), closing(2, WHOLE)).whole


@pytest.mark.parametrize(
    ('events', 'fault'),
    [
        ((own(0), own(1)), Fault.CUT),
        ((own(1), own(0), closing(2, WHOLE)), Fault.NUMBERING),
        ((own(0), own(0), own(1), closing(2, WHOLE)), Fault.NUMBERING),
        ((own(0), closing(2, WHOLE)), Fault.COUNT),
        ((own(0), own(1), closing(2, 'other')), Fault.CHECKSUM),
        (
            (piece('other', 0), closing(1, 'x')),
            Fault.FOREIGN,
        ),
    ],
)
def test_fault_is_found(events: tuple[Event, ...], fault: Fault) -> None:
    """A stream was cut, disordered, doubled or mixed up with another's."""
    answer = taken(*events)
    assert fault in answer.faults
    assert not answer.whole


def test_whole_answer_whose_bytes_come_before_its_headers() -> None:
    """A short answer arrives in one piece with its end.

    The HTTP client then hands its bytes on first and its header lines in the
    next turn of the loop. Taken for a document, a whole answer would look
    like an empty one, and its caller would ask for the rest.
    """
    reading = Stream(Answer())
    text = step_text('mine', 0)
    for event in (own(0), closing(1, text)):
        line = f'id: {event.number}\nevent: {event.kind}\ndata: {event.text}'
        reading.on_chunk(f'{line}\n\n'.encode())
    reading.on_header('HTTP/1.1 200 OK')
    reading.on_header('Content-Type: text/event-stream')
    reading.on_header('Request-Id: mine')
    answer = reading.finish()
    assert answer.whole, answer
