"""Settings without their bad values, to find what else is wrong."""

import copy
import functools
import operator
from typing import Any, TypeVar

import msgspec

from .checking import find_problems
from .problems import Path

_Settings = TypeVar('_Settings', bound=msgspec.Struct)

#: A bad value, then the object that misses it, then the object around that.
_ROUNDS = 4


def pruned(content: Any, kind: type[_Settings]) -> _Settings | None:
    """Return what is left of settings without their bad values.

    The rules between the parts can then be checked in the same run. None is
    returned if nothing usable is left.
    """
    rest = copy.deepcopy(content)
    for _ in range(_ROUNDS):
        try:
            return msgspec.convert(rest, kind)
        except msgspec.ValidationError:
            _remove_bad(rest, kind)
    return None


def _remove_bad(content: Any, kind: type[msgspec.Struct]) -> None:
    problems = find_problems(content, kind)
    paths = {_present_part(content, problem.path) for problem in problems}
    # In reverse order each list is cut from its end, so that the positions
    # before stay as found, and what is inside goes before what is around it.
    for path in sorted(paths, reverse=True):
        if path:
            parent = functools.reduce(operator.getitem, path[:-1], content)
            parent.pop(path[-1])


def _present_part(content: Any, path: Path) -> Path:
    """Return the path as far as it exists.

    Where a required value is missing, that leads to the object which misses
    it and cannot be used either.
    """
    for depth, key in enumerate(path):
        if isinstance(content, dict) and key not in content:
            return path[:depth]
        content = content[key]
    return path
