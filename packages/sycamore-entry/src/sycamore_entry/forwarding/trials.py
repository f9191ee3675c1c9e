"""Asks the fleet whether a request whose hold is over may be tried."""

import abc
import asyncio
import math

from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import (
    Quarantine,
    granting_entry,
    may_grant,
)
from sycamore_core.ids import ContentDigest
from sycamore_core.membership import Membership
from sycamore_core.messages import TrialAnswer, TrialWanted
from sycamore_core.telemetry import Log
from sycamore_core.transport import Node, Peer

#: Time for the answer of another entry, in seconds: a connection to one of
#: another region may have to be made.
_ASK_SECONDS = 0.25
#: Time between two signs that this process runs from which on it has stood
#: still, in seconds.
_PAUSE_SECONDS = 1.0


class TrialGrants(abc.ABC):
    """Says which attempts try a request in doubt."""

    @abc.abstractmethod
    async def may_try(self, content: ContentDigest) -> bool:
        """Return whether this entry may make the next attempt."""


class OwnGrants(TrialGrants):
    """Grants of an entry that is alone."""

    def __init__(self, quarantine: Quarantine, clock: Clock) -> None:
        self.quarantine = quarantine
        self.clock = clock

    async def may_try(self, content: ContentDigest) -> bool:
        """Return whether this entry may make the next attempt."""
        return self.grant(content) > 0

    def grant(self, content: ContentDigest) -> int:
        """Allow one attempt, if there is to be one now; return its number."""
        return self.quarantine.grant_try(content, self.clock.monotonic())


class FleetGrants(TrialGrants):
    """Grants of an entry among others: one of them says who tries.

    Attributes
    ----------
    asked
        Questions that are not answered yet.
    """

    def __init__(
        self,
        own: OwnGrants,
        node: Node,
        membership: Membership,
    ) -> None:
        self.own = own
        self.node = node
        self.membership = membership
        self.log = Log('mesh')
        self.asked: dict[ContentDigest, asyncio.Future[int]] = {}
        self._steady_since = math.inf
        self._runs_at = -math.inf

    async def may_try(self, content: ContentDigest) -> bool:
        """Return whether this entry may make the next attempt."""
        granting = self.granting(content)
        if granting == self.membership.address:
            number = self._grant(content)
        else:
            number = await self._ask(content, granting)
        self.log.info(
            'trial_decided',
            content=content.hex(),
            number=number,
            granting=granting,
        )
        return number > 0

    def answer(self, peer: Peer, wanted: TrialWanted) -> None:
        """Answer another entry."""
        number = self._grant(wanted.content)
        peer.post(TrialAnswer(wanted.content, number))

    def take(self, peer: Peer, answer: TrialAnswer) -> None:
        """Take the answer of another entry."""
        asked = self.asked.get(answer.content)
        if asked is not None and not asked.done():
            asked.set_result(answer.number)

    def runs(self, now: float) -> None:
        """Note that this process runs.

        What goes wrong otherwise: one that was suspended grants what others
        have tried meanwhile.
        """
        if now - self._runs_at > _PAUSE_SECONDS:
            self._steady_since = now
        self._runs_at = now

    def met(self, now: float) -> None:
        """Note that another entry is heard, for the first time or again.

        What goes wrong otherwise: two halves of a fleet meet, and one that has
        not yet heard what the other half tried grants it once more.
        """
        self._steady_since = now

    def granting(self, content: ContentDigest) -> str:
        """Return the address of the entry that says who may try a request."""
        members = self.membership.members.values()
        entries = [one.address for one in members if not one.is_lost]
        return granting_entry(content, (*entries, self.membership.address))

    def _grant(self, content: ContentDigest) -> int:
        """Allow one attempt, if this entry is to say so and knows enough."""
        if self.granting(content) != self.membership.address:
            return 0
        now = self.own.clock.monotonic()
        self.runs(now)
        steady_seconds = now - self._steady_since
        if not may_grant(steady_seconds, self.membership.heard_part):
            return 0
        return self.own.grant(content)

    async def _ask(self, content: ContentDigest, granting: str) -> int:
        """Ask another entry; no answer allows nothing."""
        if content in self.asked:
            return 0
        asked = asyncio.get_running_loop().create_future()
        self.asked[content] = asked
        self.node.peer(granting).post(TrialWanted(content))
        try:
            async with asyncio.timeout(_ASK_SECONDS):
                number = await asked
        except TimeoutError:
            return 0
        finally:
            self.asked.pop(content)
        now = self.own.clock.monotonic()
        self.own.quarantine.tried(content, number, now)
        return number
