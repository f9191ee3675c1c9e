"""Which peers are asked for a configuration that this entry does not have.

Load pattern: the platform refuses an entry, or its answers are lost, while the
peers read a newer configuration. Each of them reports its version at once, and
again every second, in an order that stays as it is. Some do not answer: they
are behind a partition in one direction, stopped, or just ending.

An entry that asks only the peer whose report comes first, and that peer again
after the next report, gets nothing from a deaf one for as long as the platform
refuses it.
"""

import msgspec

#: Time in which a peer answers, in seconds. A large configuration takes some
#: tens of milliseconds.
ANSWER_SECONDS = 0.25
#: Time for which the report of a version holds, in seconds. Peers repeat theirs
#: every second, and two in a row may be lost.
CLAIM_SECONDS = 3.0
#: Least time between two requests to one peer, in seconds. A configuration may
#: have a megabyte.
REPEAT_SECONDS = 1.0


class _Claim(msgspec.Struct):
    version: int
    heard_at: float
    asked_at: float | None = None
    has_answered: bool = False

    def is_due(self, now: float) -> bool:
        """Return whether the peer may be asked."""
        return self.asked_at is None or now - self.asked_at >= REPEAT_SECONDS

    @property
    def order(self) -> tuple[bool, int]:
        """Return the key by which peers are asked, the lowest first."""
        return (not self.has_answered, -self.version)


class ClaimedVersions:
    """The newer versions that peers have, and who was asked for them.

    Each round asks peers that were not asked before, and twice as many as the
    round before it, so that all peers of a cell are asked within seconds.

    Examples
    --------
    >>> claims = ClaimedVersions()
    >>> for peer in ('a', 'b', 'c', 'd'):
    ...     _ = claims.record(peer, version=7, now=1)
    >>> claims.choose(above=6, now=1)
    ('a',)
    >>> claims.choose(above=6, now=1.25)
    ('b', 'c')
    >>> claims.choose(above=7, now=1.5)
    ()
    """

    def __init__(self) -> None:
        self._claims: dict[str, _Claim] = {}
        self._unusable = 0
        self._round_size = 1

    def record(self, peer: str, version: int, now: float) -> bool:
        """Record the version of a peer; return whether it is new."""
        known = self._claims.get(peer)
        if known is None:
            self._claims[peer] = _Claim(version, now)
            return True
        is_new = version != known.version
        known.version = version
        known.heard_at = now
        return is_new

    def forget(self, peer: str) -> None:
        """Forget a peer, which has no newer version any more."""
        self._claims.pop(peer, None)

    def record_answer(self, peer: str) -> None:
        """Record that a peer has sent its configuration.

        It is asked first for the next version, and alone.
        """
        claim = self._claims.get(peer)
        if claim is not None:
            claim.asked_at = None
            claim.has_answered = True
        self._round_size = 1

    def record_unusable(self, version: int) -> None:
        """Record that the document of a version cannot be read."""
        self._unusable = max(self._unusable, version)

    def newest(self, now: float) -> int:
        """Return the newest usable version that is claimed; 0 if none is."""
        for peer, claim in tuple(self._claims.items()):
            if now - claim.heard_at > CLAIM_SECONDS:
                self.forget(peer)
        newest = max((one.version for one in self._claims.values()), default=0)
        return newest if newest > self._unusable else 0

    def choose(self, above: int, now: float) -> tuple[str, ...]:
        """Return the peers to ask now for a version above another.

        Peers that were not asked since their last answer come first, alone;
        then those that have answered before, those with the newest version, and
        those that were heard first.
        """
        if self.newest(now) <= above:
            self._round_size = 1
            return ()
        lowest = max(above, self._unusable) + 1
        chosen = self._due(lowest, now)[: self._round_size]
        for peer in chosen:
            self._claims[peer].asked_at = now
        self._round_size *= 2
        return tuple(chosen)

    def _due(self, lowest: int, now: float) -> list[str]:
        """Return the peers that may be asked, the best first."""
        claims = {
            peer: claim
            for peer, claim in self._claims.items()
            if claim.version >= lowest and claim.is_due(now)
        }
        unasked = [one for one in claims if claims[one].asked_at is None]
        return sorted(unasked or claims, key=lambda one: claims[one].order)
