"""Reading of settings files: JSON with comments."""

import pathlib
import re
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import msgspec
import pyjson5

from ..errors import SettingsError
from .checking import find_problems
from .problems import SettingsProblem, SettingsProblemsError
from .pruning import pruned

_Settings = TypeVar('_Settings', bound=msgspec.Struct)

#: Yields what does not fit together in settings whose values are each good.
Rules = Callable[[Any], Iterator[SettingsProblem]]

_OFFSET = re.compile(r'near (\d+)')


def no_rules(settings: Any) -> Iterator[SettingsProblem]:
    """Yield nothing: the types say all."""
    yield from iter(())


def parse_commented_json(text: str, source: str = 'settings') -> Any:
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
        # The exception also carries what was read so far, which may hold
        # values that must not be shown.
        reason = str(error.args[0])
        place = _place_of(reason, text)
        raise SettingsError(
            f'{source}: not JSON with comments: {reason}{place}',
        ) from None


def convert_all(
    content: Any,
    kind: type[_Settings],
    source: str,
    rules: Rules = no_rules,
) -> _Settings:
    """Return plain values as settings of one kind.

    Raises
    ------
    SettingsProblemsError
        If they cannot be used; it names all problems at once.
    """
    try:
        settings = msgspec.convert(content, kind)
    except msgspec.ValidationError:
        problems = list(find_problems(content, kind))
        rest = pruned(content, kind)
        if rest is not None:
            problems.extend(rules(rest))
        raise SettingsProblemsError(source, problems) from None
    broken = tuple(rules(settings))
    if broken:
        raise SettingsProblemsError(source, broken)
    return settings


def read_text(path: str) -> str:
    """Return the text of a settings file.

    Raises
    ------
    SettingsError
        If it cannot be read.
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
        If the file cannot be read or a value is not allowed.
    """
    return convert_all(parse_commented_json(read_text(path), path), kind, path)


def _place_of(reason: str, text: str) -> str:
    found = _OFFSET.search(reason)
    if found is None:
        return ''
    before = text[: int(found.group(1))]
    line = before.count('\n') + 1
    column = len(before) - before.rfind('\n')
    return f' (line {line}, column {column})'
