"""Command line that both binaries share."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from importlib import metadata
from typing import Annotated, Any, Generic, TypeVar

import typer

from ..decisions.explain import explain
from ..settings import (
    EndpointProcessSettings,
    EntryProcessSettings,
    TreeNode,
    load_process_settings,
)
from ..telemetry import start_logging
from . import operator_commands, settings_commands
from .documents import read_bytes
from .exits import ExitCode, report_errors
from .request_log import lines_of_request, read_files, summarize

Settings = TypeVar('Settings', EntryProcessSettings, EndpointProcessSettings)

SettingsFile = Annotated[
    str,
    typer.Option('--settings', help='Settings file of this process.'),
]
Files = Annotated[
    list[str],
    typer.Argument(help='Settings trees and settings files of processes.'),
]
IsTree = Annotated[
    bool,
    typer.Option(
        '--tree', help='Print the schema of a tree, not of a process.'
    ),
]
CaseFile = Annotated[
    str,
    typer.Argument(help='JSON file with the case to decide.', metavar='CASE'),
]
RequestName = Annotated[
    str,
    typer.Argument(help='Id of the request.', metavar='ID'),
]
Logs = Annotated[
    list[str],
    typer.Argument(help='Log files; - for standard input.'),
]
ShowVersion = Annotated[
    bool,
    typer.Option('--version', help='Print the version and exit.'),
]


class ProcessCommands(Generic[Settings]):
    """Commands that differ between the binaries.

    Parameters
    ----------
    name
        Name of the binary and of its distribution package.
    run
        Coroutine function that serves with the settings until stopped.
    kind
        Type of the process settings.
    """

    def __init__(
        self,
        name: str,
        run: Callable[[Settings], Coroutine[Any, Any, None]],
        kind: type[Settings],
    ) -> None:
        self.name = name
        self.serve = run
        self.kind = kind

    def about(self, *, version: ShowVersion = False) -> None:
        """Part of sycamorestack, a serving layer for prompts of any length.

        Exit codes: 0 done, 1 failed, 2 wrong command line, 3 settings or
        case not usable, 4 no answer from an entry or the platform, 5 refused
        by an entry.
        """
        if version:
            number = metadata.version(self.name)
            typer.echo(f'{self.name} {number}')
            raise typer.Exit(ExitCode.OK)

    @report_errors
    def run(self, settings: SettingsFile) -> None:
        """Serve until SIGTERM, then finish what is in progress."""
        loaded = load_process_settings(settings, self.kind)
        start_logging(
            loaded.log_level.value,
            process=loaded.name,
            zone=loaded.zone,
        )
        asyncio.run(self.serve(loaded))

    def check_settings(self, files: Files) -> None:
        """Check files and list all problems in them.

        A file with a "version" is a settings tree, any other the settings of
        a process. The exit code is 3 if one of them cannot be used.
        """
        settings_commands.check_settings(files, self.kind)

    def schema(self, *, tree: IsTree = False) -> None:
        """Print the JSON schema for editors and other tools."""
        settings_commands.print_schema(TreeNode if tree else self.kind)


@report_errors
def explain_case(case: CaseFile) -> None:
    """Replay one decision from a file, without any network."""
    typer.echo(str(explain(read_bytes(case))))


@report_errors
def explain_request(request_id: RequestName, logs: Logs) -> None:
    """Show what happened to one request, from the logs of several processes."""
    lines = lines_of_request(request_id, read_files(logs))
    for line in lines:
        typer.echo(str(line))
    typer.echo(summarize(lines))
    if not lines:
        raise typer.Exit(ExitCode.FAILED)


def make_app(
    name: str,
    run: Callable[[Settings], Coroutine[Any, Any, None]],
    kind: type[Settings],
) -> typer.Typer:
    """Return the command line of one binary; see `ProcessCommands`."""
    # Formatted help and tracebacks would import another library and keep it in
    # the memory of each serving process.
    app = typer.Typer(
        name=name,
        add_completion=False,
        no_args_is_help=True,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
    )
    commands = ProcessCommands(name, run, kind)
    app.callback(invoke_without_command=True)(commands.about)
    for command_name, command in _commands(commands).items():
        app.command(command_name)(command)
    return app


def _commands(
    process_commands: ProcessCommands[Settings],
) -> Mapping[str, Callable[..., None]]:
    return {
        'run': process_commands.run,
        'check-settings': process_commands.check_settings,
        'show-settings': settings_commands.show_settings,
        'schema': process_commands.schema,
        'explain': explain_case,
        'explain-request': explain_request,
        'fleet': operator_commands.fleet,
        'attainment': operator_commands.attainment,
        'record': operator_commands.record,
    }
