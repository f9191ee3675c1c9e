"""The list of endpoints under late, repeated and lost news of them."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...ids import EndpointId
from .. import EndpointDirectory, EndpointLifetime
from ..directory import RETURN_SECONDS
from .builders import SERVICE, record

NAMES = st.sampled_from(['e1', 'e2', 'e3'])
STARTS = st.integers(min_value=1, max_value=3)


class DirectoryMachine(RuleBasedStateMachine):
    """News come in any order; what was seen to leave stays left."""

    def __init__(self) -> None:
        super().__init__()
        self.directory = EndpointDirectory()
        self.now = float(0)
        self.left: set[EndpointLifetime] = set()

    @rule(name=NAMES, started_ms=STARTS, is_leaving=st.booleans())
    def registration_changes(
        self,
        *,
        name: str,
        started_ms: int,
        is_leaving: bool,
    ) -> None:
        known = self.directory.find(EndpointId(name))
        said = record(name, started_ms, is_leaving=is_leaving)
        self.directory.put(said)
        is_old = known is not None and known.started_ms > started_ms
        if is_leaving and not is_old:
            self.left.add(said.lifetime)

    @rule(name=NAMES, started_ms=STARTS)
    def peer_saw_it_leave(self, name: str, started_ms: int) -> None:
        lifetime = EndpointLifetime(EndpointId(name), started_ms)
        if self.directory.mark_leaving(lifetime):
            self.left.add(lifetime)

    @rule(name=NAMES)
    def registration_is_removed(self, name: str) -> None:
        self.directory.remove(EndpointId(name))
        self.left = {one for one in self.left if one.endpoint != name}
        assert self.directory.find(EndpointId(name)) is None

    @rule(names=st.sets(NAMES), after_outage=st.booleans())
    def list_is_read(self, *, names: set[str], after_outage: bool) -> None:
        known = dict(self.directory.records)
        listed = [
            msgspec.structs.replace(known[EndpointId(name)])
            for name in names
            if EndpointId(name) in known
        ]
        self.directory.replace(listed, self.now, after_outage=after_outage)
        kept = set(self.directory.records)
        assert {one.endpoint for one in listed} <= kept
        if not after_outage:
            assert kept == {one.endpoint for one in listed}
            self.left = {one for one in self.left if one.endpoint in kept}

    @rule(seconds=st.floats(min_value=0, max_value=RETURN_SECONDS))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        gone = set(self.directory.expire(self.now))
        self.left = {one for one in self.left if one.endpoint not in gone}

    @invariant()
    def nothing_that_left_is_used(self) -> None:
        usable = {one.lifetime for one in self.directory.usable(SERVICE)}
        assert not usable & self.left

    @invariant()
    def missing_ones_are_known(self) -> None:
        missing = set(self.directory.missing_since)
        assert missing <= set(self.directory.records)


TestDirectory = DirectoryMachine.TestCase
