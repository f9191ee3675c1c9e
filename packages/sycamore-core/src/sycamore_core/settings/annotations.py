"""Inspection of the type annotations of settings."""

import enum
import types
from typing import Annotated, Any, NewType, get_args, get_origin

import msgspec

from .values import SECRET_MARK

_TYPE_DESCRIPTIONS = types.MappingProxyType(
    {
        bool: 'true or false',
        int: 'a whole number',
        float: 'a number',
        str: 'text',
    },
)


def unwrap_annotation(annotation: Any) -> Any:
    """Remove `NewType`, constraints and UNSET from around an annotation."""
    if isinstance(annotation, NewType):
        return unwrap_annotation(annotation.__supertype__)
    origin = get_origin(annotation)
    if origin is Annotated:
        return unwrap_annotation(get_args(annotation)[0])
    inner = union_members(annotation)
    if inner and len(inner) == 1:
        return unwrap_annotation(inner[0])
    return annotation


def union_members(annotation: Any) -> tuple[Any, ...]:
    """Return the members of a union with UNSET, without UNSET itself.

    The result is empty for any other annotation.
    """
    arguments = get_args(annotation)
    if msgspec.UnsetType not in arguments:
        return ()
    return tuple(
        argument for argument in arguments if argument is not msgspec.UnsetType
    )


def annotation_constraints(annotation: Any) -> tuple[msgspec.Meta, ...]:
    """Return the constraints of an annotation, in the order written."""
    inner = union_members(annotation)
    if inner:
        return annotation_constraints(inner[0])
    if get_origin(annotation) is not Annotated:
        return ()
    found = get_args(annotation)[1:]
    return tuple(meta for meta in found if isinstance(meta, msgspec.Meta))


def is_secret(annotation: Any) -> bool:
    """Return whether values of an annotation must not be shown."""
    extras = (meta.extra or {} for meta in annotation_constraints(annotation))
    return any(SECRET_MARK in extra for extra in extras)


def describe(annotation: Any) -> str:
    """Describe the values that an annotation accepts.

    Examples
    --------
    >>> describe(tuple[int, ...])
    'a list of: a whole number'
    """
    for meta in annotation_constraints(annotation):
        if meta.description:
            return meta.description
    kind = unwrap_annotation(annotation)
    if get_origin(kind) is tuple:
        return f'a list of: {describe(get_args(kind)[0])}'
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        choices = ', '.join(str(choice.value) for choice in kind)
        return f'one of {choices}'
    return _TYPE_DESCRIPTIONS.get(kind, 'an object')
