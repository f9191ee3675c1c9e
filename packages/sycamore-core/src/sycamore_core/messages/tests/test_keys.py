"""Tests of where the peer keys come from."""

from pathlib import Path

import pytest

from ...errors import SettingsError
from ...ids import KeyId
from .. import PeerKeys

KEY = KeyId('k1')
SECRET = 'a secret of a test'


def reason_of(place: str) -> str:
    try:
        PeerKeys.from_files({KEY: place}, KEY)
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


@pytest.mark.parametrize('place', ['env:SYCAMORE_NOT_SET', '/nowhere/key'])
def test_missing_key_is_a_settings_error(place: str) -> None:
    assert repr(KEY) in reason_of(place)


def test_key_in_place_of_its_file_is_not_shown() -> None:
    """An operator puts the key itself where its file belongs.

    The error goes to the log, where the key must not stand.
    """
    reason = reason_of(SECRET)
    assert 'No such file' in reason
    assert SECRET not in reason
