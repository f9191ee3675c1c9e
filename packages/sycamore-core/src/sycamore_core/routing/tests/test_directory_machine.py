"""Stateful test of the directory under late, repeated and lost events."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...ids import EndpointId
from .. import EndpointDirectory, EndpointLifetime
from ..directory import REREGISTRATION_SECONDS
from .builders import SERVICE, record

NAMES = st.sampled_from(['e1', 'e2', 'e3'])
STARTS = st.integers(min_value=1, max_value=3)


class DirectoryMachine(RuleBasedStateMachine):
    """Events arrive in any order; a start that left must stay unused."""

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
        registration = record(name, started_ms, is_leaving=is_leaving)
        self.directory.put(registration)
        if is_leaving:
            self.left.add(registration.lifetime)

    @rule(name=NAMES, started_ms=STARTS)
    def endpoint_or_peer_announces_leaving(
        self,
        name: str,
        started_ms: int,
    ) -> None:
        lifetime = EndpointLifetime(EndpointId(name), started_ms)
        is_new = self.directory.mark_leaving(lifetime)
        assert is_new == (lifetime not in self.left)
        self.left.add(lifetime)

    @rule(name=NAMES)
    def registration_is_removed(self, name: str) -> None:
        self.directory.remove(EndpointId(name))
        assert self.directory.find(EndpointId(name)) is None

    @rule(names=st.sets(NAMES), after_outage=st.booleans())
    def list_is_read(self, *, names: set[str], after_outage: bool) -> None:
        known = dict(self.directory.records)
        listed = [
            msgspec.structs.replace(known[EndpointId(name)], is_leaving=False)
            for name in names
            if EndpointId(name) in known
        ]
        self.directory.replace(listed, self.now, after_outage=after_outage)
        kept = set(self.directory.records)
        assert {one.endpoint for one in listed} <= kept
        if not after_outage:
            assert kept == {one.endpoint for one in listed}

    @rule(seconds=st.floats(min_value=0, max_value=REREGISTRATION_SECONDS))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self.directory.expire(self.now)

    @invariant()
    def no_start_that_left_is_used(self) -> None:
        usable = {one.lifetime for one in self.directory.usable(SERVICE)}
        assert not usable & self.left

    @invariant()
    def newest_start_that_has_not_left_is_used(self) -> None:
        usable = {one.lifetime for one in self.directory.usable(SERVICE)}
        known = {one.lifetime for one in self.directory.records.values()}
        assert usable == known - self.left

    @invariant()
    def missing_endpoints_are_registered(self) -> None:
        missing = set(self.directory.missing_since)
        assert missing <= set(self.directory.records)


TestDirectory = DirectoryMachine.TestCase
