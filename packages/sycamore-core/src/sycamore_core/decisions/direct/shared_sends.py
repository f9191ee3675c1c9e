"""Requests that all entries together sent to each endpoint.

Load pattern: dozens of entries send to one endpoint that tolerates only a
bounded rate. An entry receives the report of another entry's request about
20 ms after the request was sent.

Without these counts, each entry observes the bound alone, and all together
exceed it. Without the jitter, all entries send as soon as there is capacity
again, before they receive each other's reports.
"""

from collections.abc import Sequence

from ...hashes import stable_fraction
from ...ids import EntryId, PeerId
from ...routing import EndpointLifetime
from .recent_sends import AGE_BUCKETS, RETENTION_SECONDS, PeerSends, RecentSends

#: Time after which the order of the entries' jitters changes, in seconds.
_JITTER_PERIOD_SECONDS = 4.0


class SharedSends:
    """Requests sent by this entry, and by its peers as far as reported.

    Attributes
    ----------
    own
        Requests that this entry sent, to any endpoint.
    by_peer
        Requests that peers reported to have sent, by endpoint and peer.

    Examples
    --------
    >>> sends = SharedSends()
    >>> sends.record('e1', now=10)
    >>> sends.apply_report('peer', 'e1', (2, 1), now=10)
    >>> sends.count('e1', seconds=1, now=10)
    4
    """

    def __init__(self) -> None:
        self.own = RecentSends()
        self.by_peer: dict[EndpointLifetime, dict[PeerId, PeerSends]] = {}

    def record(self, endpoint: EndpointLifetime, now: float) -> None:
        """Record a request of this entry to any endpoint."""
        self.own.record(endpoint, now)

    def apply_report(
        self,
        peer: PeerId,
        endpoint: EndpointLifetime,
        counts: Sequence[int],
        now: float,
    ) -> None:
        """Replace what a peer reported to have sent, by age.

        A report may leave out the older requests. What an earlier report has
        of them is kept.
        """
        by_peer = self.by_peer.setdefault(endpoint, {})
        reported = tuple(max(0, count) for count in counts[:AGE_BUCKETS])
        known = by_peer.get(peer)
        if known is not None:
            reported += tuple(known.counts_at(now)[len(reported) :])
        by_peer[peer] = PeerSends(reported, now)

    def count(
        self,
        endpoint: EndpointLifetime,
        seconds: float,
        now: float,
    ) -> int:
        """Return an upper bound of the requests sent in the last `seconds`."""
        own_count = self.own.count_since(endpoint, now - seconds)
        peer_sends = self.by_peer.get(endpoint, {}).values()
        return own_count + sum(
            sends.count_within(seconds, now) for sends in peer_sends
        )

    def own_counts(self, endpoint: EndpointLifetime, now: float) -> list[int]:
        """Return the requests of this entry by age."""
        return self.own.counts_by_age(endpoint, now)

    def total_counts(
        self,
        endpoint: EndpointLifetime,
        now: float,
        excluded_peer: PeerId,
    ) -> list[int]:
        """Return the requests by age of all known entries except one."""
        by_sender = [self.own_counts(endpoint, now)]
        for peer, sends in self.by_peer.get(endpoint, {}).items():
            if peer != excluded_peer:
                by_sender.append(sends.counts_at(now))
        return [sum(bucket) for bucket in zip(*by_sender, strict=True)]

    def drop_expired(self, now: float) -> None:
        """Drop the reports of peers that are too old to be counted."""
        begin = now - RETENTION_SECONDS
        expired = [
            endpoint
            for endpoint, by_peer in self.by_peer.items()
            if all(sends.at < begin for sends in by_peer.values())
        ]
        for endpoint in expired:
            self.by_peer.pop(endpoint)


def send_jitter(
    entry: EntryId,
    endpoint: EndpointLifetime,
    max_seconds: float,
    now: float,
) -> float:
    """Return the time by which an entry lengthens its windows, in seconds.

    The hash covers the text form of the endpoint lifetime, which contains
    its class and field names. If one of these is renamed, the jitters of
    all entries change.

    Parameters
    ----------
    max_seconds
        Upper bound of the jitter.
    """
    period = int(now / _JITTER_PERIOD_SECONDS)
    return max_seconds * stable_fraction(f'{entry} {endpoint} {period}')
