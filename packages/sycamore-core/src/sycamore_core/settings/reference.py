"""The settings reference of the documentation, made from the types.

``python -m sycamore_core.settings.reference`` prints the page; a test holds
the committed page to it.
"""

import inspect
import re
import sys
from collections.abc import Iterator, Mapping
from typing import Any, get_args, get_origin

import msgspec

from .process import (
    EndpointProcessSettings,
    EntryProcessSettings,
    PeerKeyFiles,
)
from .resolved import BandLimits, PolicySettings, ServiceSettings, Target
from .shapes import bare, describe
from .tree import EndpointNode, ServiceNode, TreeNode, WorkspaceNode
from .values import NAME_TEXT

Kind = type[msgspec.Struct]

#: The objects of the reference, those that hold others first.
KINDS = (
    TreeNode,
    WorkspaceNode,
    ServiceNode,
    Target,
    EndpointNode,
    PolicySettings,
    BandLimits,
    EntryProcessSettings,
    EndpointProcessSettings,
    PeerKeyFiles,
)
_NAME = 'a name'
_HEADER = f"""\
# Settings reference

Made by `python -m sycamore_core.settings.reference` from the types; do not
edit. The page [](settings.md) says how the parts work together.

`TreeNode` is what operators publish; `EntryProcessSettings` and
`EndpointProcessSettings` are the files of the processes. Wherever "a name" is
accepted, it is {NAME_TEXT}.
"""
_INDENTED = re.compile(r'^\s+')


def reference_page() -> str:
    """Return the whole page, as Markdown."""
    return '\n'.join((_HEADER, *map(_section, KINDS)))


def attribute_texts(kind: Kind) -> Mapping[str, str]:
    """Return what the docstring of a type says of each attribute.

    Examples
    --------
    >>> attribute_texts(WorkspaceNode)['api_key_hashes']
    'SHA-256 of each API key of the workspace.'
    """
    docstring = inspect.getdoc(kind) or ''
    section = docstring.partition('----------\n')[2]
    texts: dict[str, str] = {}
    names: list[str] = []
    for line in section.splitlines():
        if not _INDENTED.match(line):
            names = line.split(', ')
            texts.update(dict.fromkeys(names, ''))
            continue
        for name in names:
            texts[name] = f'{texts[name]} {line.strip()}'.strip()
    return texts


def _section(kind: Kind) -> str:
    summary = (inspect.getdoc(kind) or '').partition('\n')[0]
    lines = [
        f'## {kind.__name__}',
        '',
        summary,
        '',
        '| key | accepted | default | meaning |',
        '|---|---|---|---|',
        *_rows(kind),
        '',
    ]
    return '\n'.join(lines)


def _rows(kind: Kind) -> Iterator[str]:
    texts = attribute_texts(kind)
    for field in msgspec.structs.fields(kind):
        cells = (
            f'`{field.name}`',
            _accepted(field.type).replace(NAME_TEXT, _NAME),
            _default(kind, field),
            texts[field.name],
        )
        joined = ' | '.join(cells)
        yield f'| {joined} |'


def _accepted(annotation: Any) -> str:
    kind = bare(annotation)
    arguments = get_args(kind)
    if get_origin(kind) is dict:
        names, entries = arguments
        return f'an object, by {describe(names)}; each {_accepted(entries)}'
    if get_origin(kind) is tuple:
        return f'a list, each {_accepted(arguments[0])}'
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        name = kind.__name__
        return f'[{name}](#{name.lower()})'
    return describe(annotation)


def _default(kind: Kind, field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    default = field.default
    if default is msgspec.UNSET:
        default = getattr(ServiceSettings(), field.name)
    if default is msgspec.NODEFAULT or isinstance(default, msgspec.Struct):
        return 'empty'
    shown = msgspec.json.encode(default).decode()
    return f'`{shown}`'


if __name__ == '__main__':
    sys.stdout.write(reference_page())
