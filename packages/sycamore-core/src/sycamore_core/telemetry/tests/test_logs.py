"""Tests of the JSON log lines."""

import io

import msgspec

from .. import Log
from ..logs import JsonLinesHandler


def line_of(**fields: object) -> dict[str, object]:
    stream = io.StringIO()
    with JsonLinesHandler(stream, common={'process': 'entry-a'}).threadbound():
        Log('entry').info('request_refused', **fields)
    return msgspec.json.decode(stream.getvalue())


def test_line_contains_event_process_and_fields() -> None:
    line = line_of(request_id='r1', settings_version=3)
    assert line['event'] == 'request_refused'
    assert line['process'] == 'entry-a'
    assert line['level'] == 'INFO'
    assert line['request_id'] == 'r1'
    assert line['settings_version'] == 3


def test_private_fields_are_removed() -> None:
    """Guards against a component that logs the prompt of a request.

    Every reader of the logs could read the messages of guests.
    """
    assert 'prompt' not in line_of(prompt='Dear surf school')


def test_field_of_any_type_can_be_written() -> None:
    assert line_of(reason=ValueError('why'))['reason'] == 'why'
