"""Who grants the trial of a request, among entries that come and go."""

from sycamore_core.clock import ManualClock
from sycamore_core.decisions.direct import Quarantine
from sycamore_core.decisions.direct.trials import STEADY_SECONDS
from sycamore_core.ids import ContentDigest, PeerId, ZoneId
from sycamore_core.membership import Membership
from sycamore_core.membership.members import NEAR_SILENCE
from sycamore_core.messages import TrialAnswer, TrialWanted

from ..trials import FleetGrants, OwnGrants
from .builders_crash import doubted_crashes
from .builders_mesh import entries, running

CONTENT = ContentDigest(b'crashing request')
ZONE = ZoneId('a')
PAUSE = 2.0


class Postbox:
    """Stands for the peers of an entry; keeps what is posted to them."""

    def __init__(self) -> None:
        self.posted: list[object] = []

    def peer(self, address: str) -> 'Postbox':
        return self

    def post(self, message: object) -> None:
        self.posted.append(message)


class Grants:
    """The grants of one entry that knows some others."""

    def __init__(self, others: int = 0) -> None:
        self.clock = ManualClock()
        self.quarantine = Quarantine()
        self.postbox = Postbox()
        self.membership = Membership('tcp://own', ZONE)
        self.fleet = FleetGrants(
            OwnGrants(self.quarantine, self.clock),
            self.postbox,
            self.membership,
        )
        for number in range(others):
            self.hear(f'tcp://other-{number}')
        self.run(STEADY_SECONDS)

    def hear(self, address: str) -> None:
        now = self.clock.monotonic()
        if self.membership.hear(address, ZONE, PeerId(address), now):
            self.fleet.met(now)

    def run(self, seconds: float) -> None:
        """Let that time pass, and a moment more, while the process runs."""
        for _ in range(int(seconds * 10) + 2):
            self.clock.advance(0.1)
            self.fleet.runs(self.clock.monotonic())

    def doubt(self, suspect: ContentDigest = CONTENT) -> None:
        """Know of crashes whose hold in doubt is over."""
        reports = doubted_crashes(suspect)
        self.quarantine.hear(reports, self.clock.monotonic())

    def asked_for(self, content: ContentDigest = CONTENT) -> int:
        """Return the number of the try that is granted to a peer."""
        self.fleet.answer(self.postbox, TrialWanted(content))
        answer = self.postbox.posted.pop()
        assert isinstance(answer, TrialAnswer)
        return answer.number


async def test_entry_that_is_alone_grants_its_own_tries() -> None:
    """Guards against a bystander that is lost as its entry has no peers."""
    grants = Grants()
    grants.doubt()
    assert await grants.fleet.may_try(CONTENT)
    assert not await grants.fleet.may_try(CONTENT)


def test_entry_that_has_just_started_grants_nothing() -> None:
    """Guards against an entry that has not heard what was tried."""
    grants = Grants()
    grants.fleet.met(grants.clock.monotonic())
    grants.doubt()
    assert not grants.asked_for()


def test_entry_that_stood_still_grants_nothing_at_first() -> None:
    """Guards against an entry that was frozen while others tried."""
    grants = Grants()
    grants.doubt()
    grants.clock.advance(PAUSE)
    assert not grants.asked_for()
    grants.run(STEADY_SECONDS)
    assert grants.asked_for()


def test_entry_that_hears_a_half_of_the_others_grants_nothing() -> None:
    """Guards against two halves of a fleet that each try a request."""
    grants = Grants(others=3)
    grants.doubt()
    grants.run(NEAR_SILENCE)
    grants.membership.expire(grants.clock.monotonic())
    assert not grants.asked_for()


def test_entry_that_meets_another_again_grants_nothing_at_first() -> None:
    """Guards against a half that has not heard what the other one tried."""
    grants = Grants()
    grants.doubt()
    grants.hear('tcp://found-again')
    assert not grants.asked_for()


def test_entry_that_is_not_the_one_to_ask_grants_nothing() -> None:
    """Guards against entries that disagree who grants, and both do."""
    grants = Grants(others=9)
    content = granted_elsewhere(grants)
    grants.doubt(content)
    assert not grants.asked_for(content)


async def test_entry_that_is_not_answered_tries_nothing() -> None:
    """Guards against a try while the entry that grants is cut off."""
    grants = Grants(others=9)
    content = granted_elsewhere(grants)
    grants.doubt(content)
    assert not await grants.fleet.may_try(content)
    assert grants.postbox.posted == [TrialWanted(content)]


def granted_elsewhere(grants: Grants) -> ContentDigest:
    """Return a content that another entry grants."""
    digests = (str(number).zfill(16).encode() for number in range(50))
    return next(
        ContentDigest(one)
        for one in digests
        if grants.fleet.granting(ContentDigest(one)) != 'tcp://own'
    )


async def test_entry_that_tells_nobody_grants_its_own_tries() -> None:
    """Guards against a bystander that is held where entries have no peers."""
    process = entries(1)[0]
    assert isinstance(process.context.trials, OwnGrants)
    async with running([process]):
        assert process.context.trials is process.mesh.trials
