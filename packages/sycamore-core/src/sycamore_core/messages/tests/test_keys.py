"""Tests of the locations of the peer keys."""

from pathlib import Path

import pytest

from ...errors import SettingsError
from ...ids import KeyId
from .. import PeerKeys

KEY = KeyId('k1')
SECRET = 'a secret of a test'


def error_message(location: str) -> str:
    try:
        PeerKeys.from_files({KEY: location}, KEY)
    except SettingsError as error:
        return str(error)
    return ''


def test_keys_come_from_files_and_variables(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    path = tmp_path / 'key'
    path.write_text(f'{SECRET}\n')
    monkeypatch.setenv('SYCAMORE_TEST_KEY', SECRET)
    by_file = PeerKeys.from_files({KEY: str(path)}, KEY)
    by_variable = PeerKeys.from_files({KEY: 'env:SYCAMORE_TEST_KEY'}, KEY)
    assert by_file.sign(b'text') == by_variable.sign(b'text')


@pytest.mark.parametrize('location', ['env:SYCAMORE_NOT_SET', '/nowhere/key'])
def test_missing_key_is_a_settings_error(location: str) -> None:
    assert repr(KEY) in error_message(location)


def test_key_entered_as_its_path_is_not_shown() -> None:
    """An operator enters the key itself instead of the path of its file.

    The error is logged and must not reveal the key.
    """
    message = error_message(SECRET)
    assert 'No such file' in message
    assert SECRET not in message
