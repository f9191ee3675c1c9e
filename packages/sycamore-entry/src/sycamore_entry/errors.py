"""Errors of the entry process."""

from sycamore_core.errors import SycamoreError
from sycamore_core.states import Execution, RefusalReason


class EntryError(SycamoreError):
    """Base class of the errors of the entry process."""


class RefusedError(EntryError):
    """The request is refused or has failed, and gets no other answer.

    Parameters
    ----------
    reason
        Reason of the refusal; also the label of the refusal counter.
    execution
        Whether the request was run, as far as is known.
    this_call
        Whether this call ran the request; an earlier call under the same id
        or key may have run it. Defaults to `execution`.
    retry_after
        Delay before a retry, in seconds; 0 if a retry does not help.
    detail
        Explanation for the caller.
    """

    def __init__(
        self,
        reason: RefusalReason,
        detail: str = '',
        *,
        execution: Execution = Execution.NOT_RUN,
        this_call: Execution | None = None,
        retry_after: float = 0,
    ) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.execution = execution
        self.this_call = execution if this_call is None else this_call
        self.retry_after = retry_after
        self.detail = detail


class CallerGoneError(EntryError):
    """The caller has closed the connection."""


class IncompleteAnswerError(EntryError):
    """The frames of an answer do not match its closing frame."""
