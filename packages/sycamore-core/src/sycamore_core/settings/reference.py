"""Generator of the settings reference page, from the types of the settings.

``python -m sycamore_core.settings.reference`` prints the page. A test compares
the committed page with the generated one.
"""

import inspect
import re
import sys
from collections.abc import Iterator, Mapping
from typing import Any, get_args, get_origin

import msgspec

from .annotations import describe, unwrap_annotation
from .process import (
    EndpointProcessSettings,
    EntryProcessSettings,
    PeerKeyFiles,
)
from .resolved import BandLimits, PolicySettings, ServiceSettings, Target
from .tree import EndpointNode, ServiceNode, TreeNode, WorkspaceNode
from .values import NAME_DESCRIPTION

Kind = type[msgspec.Struct]

#: Types on the page; a type precedes the types that it contains.
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
_SHORT_NAME_DESCRIPTION = 'a name'
_HEADER = f"""\
# Settings reference

Made by `python -m sycamore_core.settings.reference` from the types; do not
edit. The page [](settings.md) says how the parts work together.

`TreeNode` is what operators publish; `EntryProcessSettings` and
`EndpointProcessSettings` are the files of the processes. Wherever "a name" is
accepted, it is {NAME_DESCRIPTION}.
"""
_INDENTATION = re.compile(r'^\s+')


def reference_page() -> str:
    """Return the page as Markdown."""
    return '\n'.join((_HEADER, *map(_section, KINDS)))


def attribute_descriptions(kind: Kind) -> Mapping[str, str]:
    """Return the description of each attribute from a type's docstring.

    Examples
    --------
    >>> attribute_descriptions(WorkspaceNode)['api_key_hashes']
    'SHA-256 of each API key of the workspace.'
    """
    docstring = inspect.getdoc(kind) or ''
    section = docstring.partition('----------\n')[2]
    texts: dict[str, str] = {}
    names: list[str] = []
    for line in section.splitlines():
        if not _INDENTATION.match(line):
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
    descriptions = attribute_descriptions(kind)
    for field in msgspec.structs.fields(kind):
        cells = (
            f'`{field.name}`',
            _format_type(field.type).replace(
                NAME_DESCRIPTION, _SHORT_NAME_DESCRIPTION
            ),
            _format_default(kind, field),
            descriptions[field.name],
        )
        joined = ' | '.join(cells)
        yield f'| {joined} |'


def _format_type(annotation: Any) -> str:
    kind = unwrap_annotation(annotation)
    arguments = get_args(kind)
    if get_origin(kind) is dict:
        names, entries = arguments
        return f'an object, by {describe(names)}; each {_format_type(entries)}'
    if get_origin(kind) is tuple:
        return f'a list, each {_format_type(arguments[0])}'
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        name = kind.__name__
        return f'[{name}](#{name.lower()})'
    return describe(annotation)


def _format_default(kind: Kind, field: msgspec.structs.FieldInfo) -> str:
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
