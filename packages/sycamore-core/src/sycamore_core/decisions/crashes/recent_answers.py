"""Contents of requests that were answered a short time ago.

Load pattern: hundreds of callers send the same request, which has no body. The
platform replaces several endpoints one after the other while each of them runs
it. The other requests there are retried and answered, and this one may not run
twice.

Without this, the answers before the crashes count for nothing. Two crashes with
no answer in between are enough to refuse all of these callers. A request that
crashes each endpoint has no answer, and is judged as before.
"""

import math

from ...ids import ContentDigest

#: How long before a crash a content may have been answered to be an unlikely
#: cause, in seconds. A content that was harmless may not stay so.
EVIDENCE_SECONDS = 3.0
#: How long answers are stored, in seconds: reports of a crash may be late.
_KEPT_SECONDS = 30.0
#: Upper bound of the stored contents; the oldest are dropped.
MAX_CONTENTS = 1024


class RecentAnswers:
    """When each content was last answered completely by one entry.

    Examples
    --------
    >>> answers = RecentAnswers()
    >>> answers.record(b'digest', now=10)
    >>> answers.speak_for(b'digest', crashed_at=12)
    True
    >>> answers.speak_for(b'digest', crashed_at=14)
    False
    """

    def __init__(self) -> None:
        self._answered_at: dict[ContentDigest, float] = {}

    def record(self, content: ContentDigest, now: float) -> None:
        """Record an answer; drop what is too old."""
        # A content with a new answer counts as the newest.
        self._answered_at.pop(content, None)
        self._answered_at[content] = now
        self._drop_oldest(now)

    def speak_for(self, content: ContentDigest, crashed_at: float) -> bool:
        """Return whether a content is an unlikely cause of a crash."""
        answered_at = self._answered_at.get(content, -math.inf)
        return crashed_at - answered_at <= EVIDENCE_SECONDS

    def _drop_oldest(self, now: float) -> None:
        while self._answered_at:
            oldest = next(iter(self._answered_at))
            is_old = now - self._answered_at[oldest] > _KEPT_SECONDS
            if not is_old and len(self._answered_at) <= MAX_CONTENTS:
                return
            self._answered_at.pop(oldest)
