"""Reading of settings files: JSON with comments."""

import pathlib
from typing import Any, TypeVar

import msgspec
import pyjson5

from ..errors import SettingsError

_Settings = TypeVar('_Settings', bound=msgspec.Struct)


def parse_commented_json(text: str) -> Any:
    """Return the plain values of JSON with comments.

    Raises
    ------
    SettingsError
        If the text is not JSON with comments.

    Examples
    --------
    >>> parse_commented_json('{"zone": "a"} // where it runs')
    {'zone': 'a'}
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise SettingsError(f'not JSON with comments: {error}') from error


def load_process_settings(path: str, kind: type[_Settings]) -> _Settings:
    """Read and check the settings file of one process.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is not allowed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise SettingsError(str(error)) from error
    try:
        return msgspec.convert(parse_commented_json(text), kind)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{path}: {error}') from error
