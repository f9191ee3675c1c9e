"""Reading of settings files, in JSON with comments."""

import pathlib
import re
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import msgspec
import pyjson5

from ..errors import SettingsError
from .checking import find_problems
from .problems import SettingsProblem, SettingsProblemsError
from .pruning import without_invalid_values

_Settings = TypeVar('_Settings', bound=msgspec.Struct)

#: Yields the violated rules between settings that are each valid alone.
Rules = Callable[[Any], Iterator[SettingsProblem]]

_OFFSET_PATTERN = re.compile(r'near (\d+)')


def no_rules(settings: Any) -> Iterator[SettingsProblem]:
    """Yield nothing, for settings that only their types constrain."""
    yield from iter(())


def parse_commented_json(text: str, source: str = 'settings') -> Any:
    """Return the plain values of JSON with comments.

    Raises
    ------
    SettingsError
        If the text is not JSON with comments.

    Examples
    --------
    >>> parse_commented_json('{"zone": "a"} // availability zone')
    {'zone': 'a'}
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        # The exception also carries the content parsed so far, which may
        # contain secrets. Only its message is used.
        reason = str(error.args[0])
        position = _format_position(reason, text)
        raise SettingsError(
            f'{source}: not JSON with comments: {reason}{position}',
        ) from None


def convert_all(
    content: Any,
    kind: type[_Settings],
    source: str,
    rules: Rules = no_rules,
) -> _Settings:
    """Convert plain values to settings of one type.

    Raises
    ------
    SettingsProblemsError
        If the values are invalid. The error lists all problems.
    """
    try:
        settings = msgspec.convert(content, kind)
    except msgspec.ValidationError:
        problems = list(find_problems(content, kind))
        remaining = without_invalid_values(content, kind)
        if remaining is not None:
            problems.extend(rules(remaining))
        raise SettingsProblemsError(source, problems) from None
    violations = tuple(rules(settings))
    if violations:
        raise SettingsProblemsError(source, violations)
    return settings


def read_text(path: str) -> str:
    """Return the text of a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error


def load_process_settings(path: str, kind: type[_Settings]) -> _Settings:
    """Read and check the settings file of one process.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is invalid.
    """
    return convert_all(parse_commented_json(read_text(path), path), kind, path)


def _format_position(reason: str, text: str) -> str:
    found = _OFFSET_PATTERN.search(reason)
    if found is None:
        return ''
    before = text[: int(found.group(1))]
    line = before.count('\n') + 1
    column = len(before) - before.rfind('\n')
    return f' (line {line}, column {column})'
