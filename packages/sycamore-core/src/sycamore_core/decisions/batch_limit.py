"""Estimate of the batch size of an engine from its first-token times.

Load pattern: a workspace that sends continuously, on engines whose batch size
is limited by an unknown number.

Without this limit, requests wait for a batch slot inside the full engines. A
new request of another workspace is then bound to one engine and waits for a
slot there, while slots become free at other engines.

The limit adapts like the congestion window of a transport protocol. It
decreases when a first token arrives later than prefill and steps explain. While
the limit is in use, it increases with each first token that arrives in time.
"""

import math

#: Steps that a first token may take in addition to its prefill: the rest of the
#: step in progress on arrival, its own step, and one for the age of reports.
EXPECTED_STEPS = 3
#: Decrease when a request had to wait, as a fraction of the requests at the
#: engine. With `INCREASE_REQUESTS`, the limit finds batches of 32 without
#: refusing a burst that fits. A decrease of 0.1 with an increase of 0.5 keeps
#: such batches half empty for seconds.
DECREASE_FRACTION = 0.03
#: Increase per first token in time while the limit is in use, in requests.
INCREASE_REQUESTS = 1
#: Lower bound of the limit, in requests. With fewer requests, the base time
#: dominates a step, so a slow first token has another cause than a full batch.
MIN_LIMIT_REQUESTS = 8


class BatchLimit:
    """The batch limit of one engine; infinite until a request had to wait.

    Attributes
    ----------
    requests
        Requests that may be at the engine at once.

    Examples
    --------
    >>> limit = BatchLimit()
    >>> limit.record_first_token(late_seconds=0.5, present=20)
    >>> limit.requests
    19.4
    >>> limit.record_first_token(late_seconds=0, present=19)
    >>> limit.requests
    20.4
    """

    def __init__(self) -> None:
        self.requests = math.inf

    def record_first_token(self, late_seconds: float, present: int) -> None:
        """Adapt the limit to the time of a first token.

        Parameters
        ----------
        late_seconds
            Delay of the first token beyond prefill and steps, in seconds.
        present
            Requests at the engine.
        """
        if late_seconds > 0:
            lowered = max(MIN_LIMIT_REQUESTS, present * (1 - DECREASE_FRACTION))
            self.requests = min(self.requests, lowered)
        elif present + 1 >= self.requests:
            self.requests += INCREASE_REQUESTS
