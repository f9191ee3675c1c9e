"""Fields of log lines about errors that nobody expected."""

import msgspec

from ...error_translation import MAX_ERROR_CHARACTERS
from ...errors import CodecError
from ...messages.union import decode_message
from ..error_fields import error_fields


class _Unprintable(Exception):
    def __str__(self) -> str:
        raise RecursionError('nested too deeply')


def test_place_in_own_code_is_named() -> None:
    """Guards against a line that does not tell which code has the defect."""
    try:
        decode_message(b'')
    except CodecError as error:
        fields = error_fields(error)
    package, _, rest = fields['at'].partition('/')
    assert package == 'messages'
    assert rest.startswith('union.py:')
    assert rest.endswith(' decode_message')


def test_error_of_any_size_is_logged() -> None:
    """Guards against a log line that repeats a large input, or fails."""
    long = error_fields(ValueError('x' * 10_000))
    assert len(long['error']) == MAX_ERROR_CHARACTERS
    assert error_fields(_Unprintable())['error'] == '_Unprintable'
    assert msgspec.json.encode(long)
