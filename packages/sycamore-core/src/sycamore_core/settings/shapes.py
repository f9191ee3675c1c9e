"""What a type annotation of settings accepts."""

import enum
import types
from typing import Annotated, Any, NewType, get_args, get_origin

import msgspec

from .values import SECRET

_TEXTS = types.MappingProxyType(
    {
        bool: 'true or false',
        int: 'a whole number',
        float: 'a number',
        str: 'text',
    },
)


def bare(annotation: Any) -> Any:
    """Return an annotation without ids, constraints and UNSET around it."""
    if isinstance(annotation, NewType):
        return bare(annotation.__supertype__)
    origin = get_origin(annotation)
    if origin is Annotated:
        return bare(get_args(annotation)[0])
    set_members = members(annotation)
    if set_members and len(set_members) == 1:
        return bare(set_members[0])
    return annotation


def members(annotation: Any) -> tuple[Any, ...]:
    """Return the members of a union but UNSET, or nothing."""
    arguments = get_args(annotation)
    if msgspec.UnsetType not in arguments:
        return ()
    return tuple(
        argument for argument in arguments if argument is not msgspec.UnsetType
    )


def constraints(annotation: Any) -> tuple[msgspec.Meta, ...]:
    """Return the constraints of an annotation, the outermost first."""
    inner = members(annotation)
    if inner:
        return constraints(inner[0])
    if get_origin(annotation) is not Annotated:
        return ()
    found = get_args(annotation)[1:]
    return tuple(meta for meta in found if isinstance(meta, msgspec.Meta))


def is_secret(annotation: Any) -> bool:
    """Tell whether values of an annotation are never shown."""
    extras = (meta.extra or {} for meta in constraints(annotation))
    return any(SECRET in extra for extra in extras)


def describe(annotation: Any) -> str:
    """Return in words what an annotation accepts.

    Examples
    --------
    >>> describe(tuple[int, ...])
    'a list of: a whole number'
    """
    for meta in constraints(annotation):
        if meta.description:
            return meta.description
    kind = bare(annotation)
    if get_origin(kind) is tuple:
        return f'a list of: {describe(get_args(kind)[0])}'
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        choices = ', '.join(str(choice.value) for choice in kind)
        return f'one of {choices}'
    return _TEXTS.get(kind, 'an object')
