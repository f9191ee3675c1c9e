"""Validation of plain values against a type that finds all problems.

`msgspec.convert` stops at the first problem. This check runs only after
`msgspec.convert` has failed, so that it adds no cost for valid settings.
"""

import difflib
from collections.abc import Iterable, Iterator
from typing import Any, get_args, get_origin

import msgspec

from .annotations import describe, is_secret, unwrap_annotation
from .problems import Path, SettingsProblem

_MAX_SHOWN_CHARACTERS = 60
_ELLIPSIS = '...'


def find_problems(
    content: Any,
    annotation: Any,
    path: Path = (),
) -> Iterator[SettingsProblem]:
    """Yield each problem that makes `content` invalid for `annotation`.

    Examples
    --------
    >>> for problem in find_problems([1, 'x', 'y'], tuple[int, ...]):
    ...     print(problem)
    1: found 'x'; accepted: a whole number
    2: found 'y'; accepted: a whole number
    """
    kind = unwrap_annotation(annotation)
    if _is_struct(kind) and isinstance(content, dict):
        yield from _struct_problems(content, kind, path)
    elif get_origin(kind) is dict and isinstance(content, dict):
        yield from _dict_problems(content, get_args(kind), path)
    elif get_origin(kind) is tuple and isinstance(content, list):
        yield from _list_problems(content, get_args(kind)[0], path)
    else:
        yield from _leaf_problems(content, annotation, path)


def suggest_name(name: str, names: Iterable[str]) -> str:
    """Describe the name closest to `name`, or all `names` if none is close.

    Examples
    --------
    >>> suggest_name('wieght', ['weight', 'services'])
    'weight (nearest name)'
    """
    known = sorted(names)
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        return f'{close[0]} (nearest name)'
    choices = ', '.join(known) or '(none)'
    return f'one of {choices}'


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _struct_problems(
    content: dict[str, Any],
    kind: type[msgspec.Struct],
    path: Path,
) -> Iterator[SettingsProblem]:
    fields = msgspec.structs.fields(kind)
    names = frozenset(field.name for field in fields)
    for key in content:
        if key not in names:
            accepted = suggest_name(key, names)
            yield SettingsProblem((*path, key), 'unknown key', accepted)
    for field in fields:
        field_path = (*path, field.name)
        entry = content.get(field.name, msgspec.UNSET)
        if entry is not msgspec.UNSET:
            yield from find_problems(entry, field.type, field_path)
        elif field.required:
            yield SettingsProblem(
                field_path,
                'missing',
                describe(field.type),
            )


def _dict_problems(
    content: dict[str, Any],
    annotations: tuple[Any, Any],
    path: Path,
) -> Iterator[SettingsProblem]:
    key_annotation, entry_annotation = annotations
    for key, entry in content.items():
        if not _is_convertible(key, key_annotation):
            yield SettingsProblem(
                (*path, key),
                'invalid key',
                describe(key_annotation),
            )
        yield from find_problems(entry, entry_annotation, (*path, key))


def _list_problems(
    content: list[Any],
    annotation: Any,
    path: Path,
) -> Iterator[SettingsProblem]:
    for position, entry in enumerate(content):
        yield from find_problems(entry, annotation, (*path, position))


def _leaf_problems(
    content: Any,
    annotation: Any,
    path: Path,
) -> Iterator[SettingsProblem]:
    if not _is_convertible(content, annotation):
        found = _describe_found(content, annotation)
        yield SettingsProblem(path, found, describe(annotation))


def _is_convertible(content: Any, annotation: Any) -> bool:
    try:
        msgspec.convert(content, annotation)
    except msgspec.ValidationError:
        return False
    return True


def _describe_found(content: Any, annotation: Any) -> str:
    # An API key given in place of its hash must not reach a log.
    if is_secret(annotation):
        return 'found an invalid value (not shown)'
    shown = repr(content)
    if len(shown) > _MAX_SHOWN_CHARACTERS:
        shown = shown[:_MAX_SHOWN_CHARACTERS] + _ELLIPSIS
    return f'found {shown}'
