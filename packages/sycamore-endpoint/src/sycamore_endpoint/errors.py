"""Errors of the endpoint process.

Each derives from `BackendError` of `sycamore_core.errors`, which the callers
of this layer handle.
"""

from sycamore_core.errors import BackendError


class BackendBusyError(BackendError):
    """The engine has no memory for the request; the request did not run."""


class BackendUnreachableError(BackendError):
    """The back end could not be reached or did not answer."""


class StreamInterruptedError(BackendError):
    """The stream of an answer ended before its last line."""


class UnknownRunError(BackendError):
    """The engine does not know the run that was to be resumed."""


class NotStartedError(BackendError):
    """The call was cancelled before any part of its body was sent."""


class GroupUnavailableError(BackendError):
    """The members of a group do not hold the prompt; nothing was generated."""
