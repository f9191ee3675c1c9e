"""Decides whether a request is retried after an attempt without an answer.

If a connection breaks after a request was sent, it is unknown whether the
request ran. A retry could record a deposit twice. An answer of "not run" could
be false, and the caller would then send the request again.
"""

import enum

import msgspec

from ...routing import RouteKind


class AttemptEnd(enum.StrEnum):
    """How an attempt ended."""

    #: The caller received the complete answer of the endpoint.
    ANSWERED = 'answered'
    #: No connection was made, or nothing was sent on it.
    NOT_SENT = 'not_sent'
    #: Nothing was sent: the endpoint has reported that it accepts nothing now.
    NOT_ACCEPTING = 'held_back'
    #: The endpoint states that it has not run the request.
    NOT_RUN = 'not_run'
    #: The endpoint answered with a failure.
    FAILED = 'failed'
    #: The connection broke, or the bytes received are not a valid answer.
    BROKEN = 'broken'
    #: The endpoint stopped sending an answer that had begun.
    SILENT = 'silent'
    #: The lifetime of an endpoint ended after the request was sent to it.
    ENDED = 'endpoint_ended'
    #: The answer of an earlier attempt arrived first.
    REPLACED = 'replaced'

    @property
    def has_not_run(self) -> bool:
        """Whether the request certainly did not run at the endpoint."""
        return not self.was_sent or self == AttemptEnd.NOT_RUN

    @property
    def was_sent(self) -> bool:
        """Whether anything reached the endpoint."""
        return self not in {AttemptEnd.NOT_SENT, AttemptEnd.NOT_ACCEPTING}


class NextStep(enum.StrEnum):
    """What the entry does with a request after an attempt."""

    #: Retry the request.
    RETRY = 'try_again'
    #: Answer that the request has not run, with the time of a retry.
    REFUSE = 'refuse'
    #: Forward the failure that the endpoint answered.
    RELAY_FAILURE = 'hand_on'
    #: Answer that the request failed, or cut an answer that has begun.
    FAIL = 'fail'


class RetryPermission(enum.StrEnum):
    """Whether a request may be retried after a failed attempt, and why not."""

    #: The retry counts against the retry budget.
    GRANTED = 'granted'
    #: Nothing reached an endpoint, so another attempt is not a retry.
    NOTHING_SENT = 'nothing_sent'
    #: The retry budget of this entry is used up.
    BUDGET_SPENT = 'budget_spent'
    #: The request ran as often as its route permits.
    ATTEMPTS_SPENT = 'attempts_spent'
    #: The request may have run and is not idempotent.
    MAY_HAVE_RUN = 'may_have_run'
    #: The caller has received a part of an answer that cannot be resumed.
    ANSWER_HAS_BEGUN = 'answer_has_begun'

    @property
    def permits(self) -> bool:
        """Whether the request may be retried."""
        return self in {RetryPermission.GRANTED, RetryPermission.NOTHING_SENT}


class AttemptLog(msgspec.Struct):
    """Outcomes of the attempts of one request so far.

    Attributes
    ----------
    sent
        Attempts that reached an endpoint.
    possibly_ran
        Ended attempts that ran at an endpoint, or of which this is unknown.
    is_in_progress
        Whether an attempt is in progress. Its request may run at any moment,
        so a caller that is answered meanwhile must not receive "not run".
    answer_has_begun
        Whether the caller has received the beginning of an answer.
    last_end
        How the latest attempt ended; None if none has ended.

    Examples
    --------
    >>> log = AttemptLog()
    >>> log.begin()
    >>> log.may_have_run
    1
    >>> log.record(AttemptEnd.NOT_RUN)
    >>> log.may_have_run
    0
    """

    sent: int = 0
    possibly_ran: int = 0
    is_in_progress: bool = False
    answer_has_begun: bool = False
    last_end: AttemptEnd | None = None

    @property
    def may_have_run(self) -> int:
        """Number of attempts that may have run."""
        return self.possibly_ran + int(self.is_in_progress)

    def begin(self) -> None:
        """Record that an attempt begins."""
        self.is_in_progress = True

    def record(self, end: AttemptEnd, *, is_resumed: bool = False) -> None:
        """Record how an attempt ended.

        Parameters
        ----------
        is_resumed
            Whether it is the rest of an attempt that was counted before.
        """
        self.last_end = end
        if is_resumed:
            return
        self.is_in_progress = False
        if end.was_sent:
            self.sent += 1
        if not end.has_not_run:
            self.possibly_ran += 1


def retry_permission(
    kind: RouteKind,
    end: AttemptEnd,
    attempts: AttemptLog,
    *,
    max_attempts: int,
) -> RetryPermission:
    """Return whether a request may be retried, leaving out the retry budget.

    Parameters
    ----------
    attempts
        All attempts, including the one that ended.
    max_attempts
        Upper bound of the runs of an idempotent request.

    Examples
    --------
    >>> log = AttemptLog(sent=1, possibly_ran=1)
    >>> retry_permission(
    ...     RouteKind.UNSAFE, AttemptEnd.BROKEN, log, max_attempts=3
    ... ).value
    'may_have_run'
    """
    is_resumable = kind == RouteKind.RESUMABLE_STREAM
    if attempts.answer_has_begun and not is_resumable:
        return RetryPermission.ANSWER_HAS_BEGUN
    if attempts.may_have_run and not kind.is_idempotent:
        return RetryPermission.MAY_HAVE_RUN
    if attempts.may_have_run >= max(max_attempts, 1):
        return RetryPermission.ATTEMPTS_SPENT
    if end.was_sent:
        return RetryPermission.GRANTED
    return RetryPermission.NOTHING_SENT


def next_step(
    kind: RouteKind,
    end: AttemptEnd,
    attempts: AttemptLog,
    *,
    may_retry: bool,
    max_attempts: int,
) -> NextStep:
    """Return the step after an attempt that gave no complete answer.

    Parameters
    ----------
    attempts
        All attempts, including the one that ended.
    may_retry
        Whether the time limit and the retry budget permit another attempt.
    max_attempts
        Upper bound of the runs of an idempotent request.

    Examples
    --------
    >>> log = AttemptLog(sent=1, possibly_ran=1)
    >>> next_step(
    ...     RouteKind.UNSAFE, AttemptEnd.BROKEN, log,
    ...     may_retry=True, max_attempts=3,
    ... ).value
    'fail'
    """
    permission = retry_permission(
        kind, end, attempts, max_attempts=max_attempts
    )
    if may_retry and permission.permits:
        return NextStep.RETRY
    if attempts.answer_has_begun:
        return NextStep.FAIL
    if attempts.may_have_run == 0:
        return NextStep.REFUSE
    return NextStep.RELAY_FAILURE if end == AttemptEnd.FAILED else NextStep.FAIL
