"""How many requests endpoints take that name a limit.

Load pattern: an endpoint in need names a rate of about a request a second, and
says so in each answer. Entries by the dozen place requests by load.

Without it: an endpoint that asks for less looks idle and gets more.
"""

import msgspec

from ...routing import EndpointLifetime

#: How long a limit holds that no answer repeats, in seconds. An endpoint that
#: is used says it in each answer.
WORD_SECONDS = 30.0


class LimitWord(msgspec.Struct, frozen=True):
    """What an endpoint has said of its limit.

    Attributes
    ----------
    per_second
        Requests a second from all entries together; None if it names no limit
        any more.
    at
        When it said so, on the monotonic clock, in seconds.
    """

    per_second: float | None
    at: float


class RateLimits:
    """Limits that endpoints name, as one entry knows them.

    Attributes
    ----------
    words
        The latest of each endpoint that ever named a limit.
    """

    def __init__(self) -> None:
        self.words: dict[EndpointLifetime, LimitWord] = {}

    def said(
        self,
        endpoint: EndpointLifetime,
        per_second: float | None,
        now: float,
    ) -> bool:
        """Take what an answer says; return whether that is news.

        Parameters
        ----------
        per_second
            The limit; None if the answer names none.
        """
        known = self.limit(endpoint, now)
        if per_second is not None or endpoint in self.words:
            self.words[endpoint] = LimitWord(per_second, now)
        return per_second != known

    def limit(self, endpoint: EndpointLifetime, now: float) -> float | None:
        """Return the limit in force; None if there is none."""
        word = self.words.get(endpoint)
        if word is None or now - word.at > WORD_SECONDS:
            return None
        return word.per_second
