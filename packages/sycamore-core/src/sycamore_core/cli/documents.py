"""Reads the settings documents that are passed to commands."""

import pathlib
from typing import Any

import msgspec

from ..errors import SettingsError
from ..settings import TreeNode, read_tree
from ..settings.files import convert_all, parse_commented_json, read_text

_VERSION = 'version'


def check_document(path: str, kind: type[msgspec.Struct]) -> str:
    """Check one file and return a description of its content.

    A file with a ``version`` is a settings tree; any other file contains the
    settings of a process.

    Raises
    ------
    SettingsError
        If the file cannot be used.
    """
    content = parse_commented_json(read_text(path), path)
    if isinstance(content, dict) and _VERSION in content:
        tree = load_tree(path)
        counts = (
            f'{len(tree.workspaces)} workspaces',
            f'{len(tree.endpoints)} endpoints',
        )
        listed = ', '.join(counts)
        return f'settings tree, version {tree.version}, {listed}'
    settings: Any = convert_all(content, kind, path)
    return f'settings of process {settings.name}'


def load_tree(path: str) -> TreeNode:
    """Read and check the file of a settings tree.

    Raises
    ------
    SettingsError
        If the file cannot be used.
    """
    return read_tree(read_bytes(path), path)


def read_bytes(path: str) -> bytes:
    """Return the content of a file.

    Raises
    ------
    SettingsError
        If the file cannot be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
