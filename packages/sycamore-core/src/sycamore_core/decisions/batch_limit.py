"""How many requests an engine takes before they wait for a place in its batch.

Load pattern: a workspace that sends without end, on engines whose batch is
limited by a figure that nobody has stated.

Without it: requests wait inside the full engines for a place. One of another
workspace that comes then is bound to one engine and waits for a place there,
while places become free at others.

The limit is found like the window of a transport protocol: it is lowered when a
first token comes later than prefill and steps explain, and raised by a part of
a request with each one that comes in time while the limit is in use.
"""

import math

#: Steps that a first token may take beyond its prefill: the rest of the step
#: in progress when the request came, its own, and one as reports are old.
EXPECTED_STEPS = 3
#: Part of the requests there that is taken off when one had to wait. Together
#: with `RAISED_BY` it found batches of 32 without refusing a burst that they
#: could hold; a tenth with a half kept them half empty for seconds.
LOWERED_PART = 0.03
#: What a first token in time adds while the limit is in use, in requests.
RAISED_BY = 1
#: Least limit, in requests. With fewer, the base of a step is most of it, so
#: a slow first token there has another cause than a full batch.
LEAST_LIMIT = 8


class BatchLimit:
    """The limit of one engine; infinite until a request had to wait.

    Examples
    --------
    >>> limit = BatchLimit()
    >>> limit.note_first_token(late_seconds=0.5, present=20)
    >>> limit.requests
    19.4
    >>> limit.note_first_token(late_seconds=0, present=19)
    >>> limit.requests
    20.4
    """

    def __init__(self) -> None:
        self.requests = math.inf

    def note_first_token(self, late_seconds: float, present: int) -> None:
        """Learn from a first token.

        Parameters
        ----------
        late_seconds
            How much later it came than prefill and steps explain, in seconds.
        present
            Requests at the engine.
        """
        if late_seconds > 0:
            lowered = max(LEAST_LIMIT, present * (1 - LOWERED_PART))
            self.requests = min(self.requests, lowered)
        elif present + 1 >= self.requests:
            self.requests += RAISED_BY
