"""Tests of the JSON lines."""

import io

import msgspec

from .. import Log
from ..logs import JsonLines


def line_of(**fields: object) -> dict[str, object]:
    stream = io.StringIO()
    with JsonLines(stream, common={'process': 'entry-a'}).threadbound():
        Log('entry').info('request_refused', **fields)
    return msgspec.json.decode(stream.getvalue())


def test_line_carries_event_process_and_fields() -> None:
    line = line_of(request_id='r1', settings_version=3)
    assert line['event'] == 'request_refused'
    assert line['process'] == 'entry-a'
    assert line['level'] == 'INFO'
    assert line['request_id'] == 'r1'
    assert line['settings_version'] == 3


def test_what_callers_trust_us_with_is_left_out() -> None:
    """A part of the system logs a request with its prompt.

    Whoever reads the logs would read the guests' messages.
    """
    assert 'prompt' not in line_of(prompt='Dear surf school')


def test_field_of_any_type_can_be_written() -> None:
    assert line_of(reason=ValueError('why'))['reason'] == 'why'
