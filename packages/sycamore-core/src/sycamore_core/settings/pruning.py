"""Removal of invalid values, so that the rules can check the others."""

import copy
import functools
import operator
from typing import Any, TypeVar

import msgspec

from .checking import find_problems
from .problems import Path

_Settings = TypeVar('_Settings', bound=msgspec.Struct)

#: Three rounds may remove values: first the invalid value, then the object that
#: lacks it, then the object around that one. The fourth converts the result.
_MAX_ROUNDS = 4


def without_invalid_values(
    content: Any, kind: type[_Settings]
) -> _Settings | None:
    """Return settings without their invalid values.

    The rules between values can then be checked in the same run. The result
    is None if the remaining values are still invalid.
    """
    remaining = copy.deepcopy(content)
    for _ in range(_MAX_ROUNDS):
        try:
            return msgspec.convert(remaining, kind)
        except msgspec.ValidationError:
            _remove_invalid_values(remaining, kind)
    return None


def _remove_invalid_values(content: Any, kind: type[msgspec.Struct]) -> None:
    problems = find_problems(content, kind)
    paths = {_existing_part(content, problem.path) for problem in problems}
    # Reverse order removes the items of a list from its end, which keeps the
    # earlier indices valid, and removes a value before its parent.
    for path in sorted(paths, reverse=True):
        if path:
            parent = functools.reduce(operator.getitem, path[:-1], content)
            parent.pop(path[-1])


def _existing_part(content: Any, path: Path) -> Path:
    """Return the longest part of a path that exists in `content`.

    For a missing required value this is the path of the object that lacks it,
    which is invalid too.
    """
    for depth, key in enumerate(path):
        if isinstance(content, dict) and key not in content:
            return path[:depth]
        content = content[key]
    return path
