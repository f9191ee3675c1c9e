"""Exit codes of the commands and the errors that lead to them."""

import enum
import functools
from collections.abc import Callable
from typing import ParamSpec

import typer

from ..errors import (
    DecisionError,
    PlatformError,
    SettingsError,
    SycamoreError,
)

_Params = ParamSpec('_Params')


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    #: The command succeeded.
    OK = 0
    #: The command failed for a reason without its own code.
    FAILED = 1
    #: The command line is invalid.
    USAGE = 2
    #: Settings or the case to explain are invalid.
    UNUSABLE = 3
    #: The entry or the platform does not answer.
    UNREACHABLE = 4
    #: The entry refused the request.
    REFUSED = 5


class RefusedByEntryError(SycamoreError):
    """An entry refused a request of an operator."""


def exit_code_of(error: SycamoreError) -> ExitCode:
    """Return the exit code for an error.

    Examples
    --------
    >>> exit_code_of(SettingsError('bad')).name
    'UNUSABLE'
    """
    if isinstance(error, SettingsError | DecisionError):
        return ExitCode.UNUSABLE
    if isinstance(error, RefusedByEntryError):
        return ExitCode.REFUSED
    if isinstance(error, PlatformError):
        return ExitCode.UNREACHABLE
    return ExitCode.FAILED


def report_errors(command: Callable[_Params, None]) -> Callable[_Params, None]:
    """Decorate a command to print its error and exit with a matching code."""

    @functools.wraps(command)
    def wrapper(*args: _Params.args, **kwargs: _Params.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except SycamoreError as error:
            typer.echo(str(error), err=True)
            raise typer.Exit(exit_code_of(error)) from error

    return wrapper
