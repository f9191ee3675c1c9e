"""Commands for settings files, which do not use the network."""

from typing import Annotated

import msgspec
import typer

from ..errors import SettingsError
from ..ids import ServiceId, WorkspaceId
from ..settings import SettingsProblemsError, TreeNode
from ..settings.provenance import (
    EffectiveValue,
    effective_values,
    workspace_services,
)
from .documents import check_document, load_tree
from .exits import ExitCode, report_errors
from .tables import format_table

TreeFile = Annotated[
    str,
    typer.Argument(help='File of a settings tree.', metavar='TREE'),
]
Workspace = Annotated[str, typer.Option(help='Only this workspace.')]
Service = Annotated[str, typer.Option(help='Only this service.')]
_INDENT_SPACES = 2


def check_settings(files: list[str], kind: type[msgspec.Struct]) -> None:
    """Check files and print for each whether it is usable."""
    is_usable = True
    for path in files:
        try:
            found = check_document(path, kind)
        except SettingsError as error:
            is_usable = False
            typer.echo(str(error), err=True)
            typer.echo(f'{path}: not usable, {_problem_count(error)}', err=True)
        else:
            typer.echo(f'{path}: {found}')
    if not is_usable:
        raise typer.Exit(ExitCode.UNUSABLE)


@report_errors
def show_settings(
    tree: TreeFile,
    workspace: Workspace = '',
    service: Service = '',
) -> None:
    """Show the values in force and the level that sets each."""
    loaded = load_tree(tree)
    blocks = [
        _format_service(loaded, WorkspaceId(owner), ServiceId(name))
        for owner, name in _selected_pairs(loaded, workspace, service)
    ]
    typer.echo('\n\n'.join(blocks))


def print_schema(kind: type[msgspec.Struct]) -> None:
    """Print the JSON schema of one kind of settings file."""
    schema = msgspec.json.encode(msgspec.json.schema(kind))
    typer.echo(msgspec.json.format(schema, indent=_INDENT_SPACES).decode())


def _problem_count(error: SettingsError) -> str:
    if isinstance(error, SettingsProblemsError):
        return f'{len(error.problems)} problem(s)'
    return '1 problem'


def _selected_pairs(
    tree: TreeNode,
    workspace: str,
    service: str,
) -> list[tuple[str, str]]:
    if workspace and service:
        # With both names given, `effective_values` reports an unknown name
        # together with the valid ones.
        return [(workspace, service)]
    selected = [
        (owner, name)
        for owner, name in workspace_services(tree)
        if workspace in {'', owner} and service in {'', name}
    ]
    if not selected:
        raise SettingsError(
            f'no workspace {workspace!r} with a service {service!r}',
        )
    return selected


def _format_service(
    tree: TreeNode, workspace: WorkspaceId, service: ServiceId
) -> str:
    rows = [
        _format_row(row) for row in effective_values(tree, workspace, service)
    ]
    table = format_table(('setting', 'value', 'from'), rows)
    return f'{workspace} / {service}\n{table}'


def _format_row(row: EffectiveValue) -> tuple[str, str, str]:
    shown = msgspec.json.encode(row.setting).decode()
    return row.field, shown, row.level
