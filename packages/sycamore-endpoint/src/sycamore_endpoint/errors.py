"""Errors of the endpoint process.

Each derives from the branch of `sycamore_core.errors` that callers of the
layer already know.
"""

from sycamore_core.errors import BackendError


class BackendBusyError(BackendError):
    """The engine has no memory for the request; it did not run."""


class BackendSilentError(BackendError):
    """The back end could not be reached or did not answer."""


class StreamCutError(BackendError):
    """The stream of an answer ended before its last line."""


class RunUnknownError(BackendError):
    """The engine does not know the run that was to be resumed."""


class NotStartedError(BackendError):
    """The call was given up before any of its body was sent."""


class GroupUnavailableError(BackendError):
    """The members of a group do not hold the prompt; nothing was generated."""
