"""Settings without their bad values, to find what else is wrong."""

import copy
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
    problems = tuple(find_problems(content, kind))
    # From the end of each list, so that the other positions stay as found.
    for problem in reversed(problems):
        _remove(content, problem.path)


def _remove(content: Any, path: Path) -> None:
    if not path:
        return
    parent = _value_at(content, path[:-1])
    try:
        parent.pop(path[-1])
    except (LookupError, TypeError, AttributeError):
        # It is missing, so the object without it cannot be used either.
        _remove(content, path[:-1])


def _value_at(content: Any, path: Path) -> Any:
    for key in path:
        content = content[key]
    return content
