"""Exit codes of the commands."""

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
    """What a command's exit code says."""

    #: The command did what it was asked.
    OK = 0
    #: Something failed that none of the others names.
    FAILED = 1
    #: The command line itself is wrong.
    USAGE = 2
    #: Settings, or a case to explain, cannot be used.
    UNUSABLE = 3
    #: The entry or the platform does not answer.
    UNREACHABLE = 4
    #: The entry has refused the call.
    REFUSED = 5


class RefusedByEntryError(SycamoreError):
    """An entry has answered a call with a refusal."""


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


def reporting(command: Callable[_Params, None]) -> Callable[_Params, None]:
    """Turn the errors of a command into a message and an exit code."""

    @functools.wraps(command)
    def wrapper(*args: _Params.args, **kwargs: _Params.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except SycamoreError as error:
            typer.echo(str(error), err=True)
            raise typer.Exit(exit_code_of(error)) from error

    return wrapper
