"""Errors of the entry process."""

from sycamore_core.errors import SycamoreError
from sycamore_core.states import Execution, RefusalReason


class EntryError(SycamoreError):
    """Root of the errors of the entry process."""


class RefusedError(EntryError):
    """The request gets its final answer now, and it is not the one asked for.

    Parameters
    ----------
    reason
        Why; the label of the refusal counter.
    execution
        What is known about whether the request was run.
    this_call
        What is known about whether this call ran it; another call under the
        same id or key may have run it before. As `execution` if not given.
    retry_after
        When to come back, in seconds; 0 if coming back does not help.
    detail
        A sentence for the caller.
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
    """The caller's connection is closed; nobody waits for the answer."""


class CutAnswerError(EntryError):
    """The frames of an answer do not make up what its closing frame says."""
