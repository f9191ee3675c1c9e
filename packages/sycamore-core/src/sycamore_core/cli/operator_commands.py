"""Operator commands that query an entry process."""

import os
import pathlib
from typing import Annotated
from urllib.parse import quote

import msgspec
import typer

from ..errors import SettingsError
from ..telemetry import AttainmentRow
from .client import query_entry
from .exits import report_errors
from .tables import format_table

KEY_VARIABLE = 'SYCAMORE_OPERATOR_KEY'
_INDENT_SPACES = 2

Entry = Annotated[
    str,
    typer.Option(
        help='Address of an entry process, such as http://10.0.0.1:8080.',
        envvar='SYCAMORE_ENTRY',
    ),
]
KeyFile = Annotated[
    str,
    typer.Option(
        help=f'File with the operator key; default: ${KEY_VARIABLE}.',
    ),
]
AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]
RequestArgument = Annotated[str, typer.Argument(help='Id of the request.')]


@report_errors
def fleet(entry: Entry, key_file: KeyFile = '') -> None:
    """Show endpoints, queues and the settings version in force."""
    answer = query_entry(entry, 'fleet', operator_key(key_file))
    typer.echo(_indented(answer))


@report_errors
def attainment(
    entry: Entry,
    key_file: KeyFile = '',
    as_json: AsJson = False,
) -> None:
    """Show the targets met and missed, and the penalties owed."""
    answer = query_entry(entry, 'attainment', operator_key(key_file))
    typer.echo(_indented(answer) if as_json else _attainment_table(answer))


@report_errors
def record(
    request_id: RequestArgument,
    entry: Entry,
    key_file: KeyFile = '',
) -> None:
    """Show the record of a refused or failed request."""
    quoted = quote(request_id, safe='')
    key = operator_key(key_file)
    typer.echo(_indented(query_entry(entry, f'requests/{quoted}', key)))


def operator_key(key_file: str) -> str:
    """Return the operator key from a file or the environment.

    The key is not accepted as an argument, since other users of the machine
    can read command lines.

    Raises
    ------
    SettingsError
        If no file is named and the variable is not set, or if the file cannot
        be read.
    """
    if not key_file:
        key = os.environ.get(KEY_VARIABLE, '')
        if not key:
            raise SettingsError(
                f'no operator key; accepted: --key-file or ${KEY_VARIABLE}',
            )
        return key
    try:
        return pathlib.Path(key_file).read_text(encoding='utf-8').strip()
    except OSError as error:
        raise SettingsError(f'operator key: {error.strerror}') from None


def _indented(answer: bytes) -> str:
    return msgspec.json.format(answer, indent=_INDENT_SPACES).decode()


def _attainment_table(answer: bytes) -> str:
    rows = msgspec.json.decode(answer, type=tuple[AttainmentRow, ...])
    header = AttainmentRow.__struct_fields__
    return format_table(header, [msgspec.structs.astuple(row) for row in rows])
