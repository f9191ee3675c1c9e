"""Commands about settings; none of them uses the network."""

from typing import Annotated

import msgspec
import typer

from ..errors import SettingsError
from ..ids import ServiceId, WorkspaceId
from ..settings import SettingsProblemsError, TreeNode
from ..settings.provenance import EffectiveValue, effective_values, pairs
from .documents import check_document, load_tree
from .exits import ExitCode, reporting
from .tables import as_table

TreeFile = Annotated[
    str,
    typer.Argument(help='File of a settings tree.', metavar='TREE'),
]
Workspace = Annotated[str, typer.Option(help='Only this workspace.')]
Service = Annotated[str, typer.Option(help='Only this service.')]
_INDENT = 2


def check_settings(files: list[str], kind: type[msgspec.Struct]) -> None:
    """Check files and say for each whether it can be used."""
    is_usable = True
    for path in files:
        try:
            found = check_document(path, kind)
        except SettingsError as error:
            is_usable = False
            typer.echo(str(error), err=True)
            typer.echo(f'{path}: not usable, {_count(error)}', err=True)
        else:
            typer.echo(f'{path}: {found}')
    if not is_usable:
        raise typer.Exit(ExitCode.UNUSABLE)


@reporting
def show_settings(
    tree: TreeFile,
    workspace: Workspace = '',
    service: Service = '',
) -> None:
    """Show the values in force and the level that sets each."""
    loaded = load_tree(tree)
    blocks = [
        _block(loaded, WorkspaceId(one), ServiceId(other))
        for one, other in _chosen(loaded, workspace, service)
    ]
    typer.echo('\n\n'.join(blocks))


def print_schema(kind: type[msgspec.Struct]) -> None:
    """Print the JSON schema of one kind of settings file."""
    schema = msgspec.json.encode(msgspec.json.schema(kind))
    typer.echo(msgspec.json.format(schema, indent=_INDENT).decode())


def _count(error: SettingsError) -> str:
    if isinstance(error, SettingsProblemsError):
        return f'{len(error.problems)} problem(s)'
    return '1 problem'


def _chosen(
    tree: TreeNode,
    workspace: str,
    service: str,
) -> list[tuple[str, str]]:
    if workspace and service:
        # Both are named: a wrong name is an error that says which there are.
        return [(workspace, service)]
    chosen = [
        (one, other)
        for one, other in pairs(tree)
        if workspace in {'', one} and service in {'', other}
    ]
    if not chosen:
        raise SettingsError(
            f'no workspace {workspace!r} with a service {service!r}',
        )
    return chosen


def _block(tree: TreeNode, workspace: WorkspaceId, service: ServiceId) -> str:
    rows = [_row(row) for row in effective_values(tree, workspace, service)]
    table = as_table(('setting', 'value', 'from'), rows)
    return f'{workspace} / {service}\n{table}'


def _row(row: EffectiveValue) -> tuple[str, str, str]:
    shown = msgspec.json.encode(row.setting).decode()
    return row.field, shown, row.level
