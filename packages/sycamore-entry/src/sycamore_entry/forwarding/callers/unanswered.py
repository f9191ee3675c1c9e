"""Reports requests that were read whole and have no complete answer."""

import enum

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.telemetry import Log

from ..metrics import ForwardingMetrics
from .closing import Closing


class UnansweredReason(enum.StrEnum):
    """Why the caller of a request received no complete answer."""

    #: The caller closed its connection first.
    CALLER_LEFT = 'caller_left'
    #: The caller did not read its answer and was disconnected.
    SLOW_READER = 'slow_reader'
    #: The answer had begun, and no endpoint could complete it.
    NOT_RESUMED = 'not_resumed'
    #: The answer had begun, and the time limit of the request has passed.
    TIME_LIMIT = 'time_limit'
    #: The entry stopped before the request had ended.
    FORCED_STOP = 'forced_stop'
    #: The entry has a defect.
    DEFECT = 'defect'


class UnansweredReport:
    """Logs and counts the requests that were read and not answered."""

    def __init__(self, metrics: ForwardingMetrics, log: Log) -> None:
        self.metrics = metrics
        self.log = log

    def record(
        self,
        request_id: str,
        reason: UnansweredReason,
        *,
        has_begun: bool,
        last_end: AttemptEnd | None,
        closing: Closing | None,
    ) -> None:
        """Record a request without a complete answer.

        Parameters
        ----------
        has_begun
            Whether the caller has received the head of an answer.
        last_end
            How the last attempt ended; None if none has ended.
        closing
            How the connection was closed; None if it is open.
        """
        self.metrics.outcomes.unanswered.add(reason)
        self.log.info(
            'request_unanswered',
            request_id=request_id,
            reason=reason,
            has_begun=has_begun,
            last_end=last_end,
            **({} if closing is None else closing.log_fields()),
        )
