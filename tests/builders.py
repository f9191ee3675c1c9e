"""Builders of fleets and requests for the process tests."""

import asyncio
import pathlib
from collections.abc import Iterator

from sycamore_core.ids import ServiceId, WorkspaceId, ZoneId
from sycamore_core.settings import BandLimits, PolicySettings
from sycamore_core.settings.tree import ServiceNode
from sycamore_core.states import EndpointKind
from sycamore_standins.caller import Ask, PlainAsk
from sycamore_standins.engine import EngineProfile
from sycamore_standins.fleet import (
    EntryPlan,
    Fleet,
    FleetPlan,
    ModelPlan,
    PlainPlan,
    WorkspacePlan,
)

ASSISTANT = ServiceId('assistant')
RECORDS = ServiceId('records')
ZONES = (ZoneId('zone-a'), ZoneId('zone-b'), ZoneId('zone-c'))

#: An answer of a hundred tokens takes about a second, so that there is time
#: to do harm in the middle of it.
PROFILE = EngineProfile(
    memory_tokens=20_000,
    block_tokens=128,
    prefill_rate=400_000,
    prefill_chunk_tokens=2048,
    step_base_seconds=0.01,
    step_slope_seconds=0,
    transfer_rate=1_000_000,
    report_lag_seconds=0.2,
)


def small_plan(
    *,
    models: int = 4,
    plains: int = 2,
    checks_fencing: bool = True,
) -> FleetPlan:
    """Return two entries and a few endpoints in three zones."""
    return FleetPlan(
        name='test',
        entries=tuple(EntryPlan(zone) for zone in ZONES[:2]),
        models=tuple(
            ModelPlan(
                service=ASSISTANT,
                zone=ZONES[number % 3],
                profile=PROFILE,
                checks_fencing=checks_fencing,
            )
            for number in range(models)
        ),
        plains=tuple(
            PlainPlan(
                service=RECORDS,
                zone=ZONES[number % 3],
            )
            for number in range(plains)
        ),
        workspaces=(
            WorkspacePlan(
                name=WorkspaceId('school'),
                api_key='key-of-the-school',
                services=(ASSISTANT, RECORDS),
            ),
            WorkspacePlan(
                name=WorkspaceId('dairy'),
                api_key='key-of-the-dairy',
                services=(ASSISTANT, RECORDS),
            ),
        ),
        services={
            ASSISTANT: ServiceNode(max_output_tokens=2000),
            RECORDS: ServiceNode(kind=EndpointKind.PLAIN, idempotent=False),
        },
        policy=PolicySettings(
            bands=BandLimits(short=1000, medium=5000, long=15_000),
            long_work_share=0.75,
        ),
    )


def start_fleet(plan: FleetPlan, folder: pathlib.Path) -> Iterator[Fleet]:
    """Give a started fleet, then end it; for a fixture."""
    fleet = Fleet.from_plan(plan, folder)
    try:
        asyncio.run(fleet.start())
        yield fleet
    finally:
        asyncio.run(fleet.stop())


def model_ask(**fields: object) -> Ask:
    """Return a request for a short answer."""
    return Ask(service=ASSISTANT, **fields)


def long_answer(**fields: object) -> Ask:
    """Return a request whose answer takes about a second."""
    return Ask(service=ASSISTANT, max_output_tokens=100, **fields)


def credit(business_id: str, **fields: object) -> PlainAsk:
    """Return a call that must not run twice."""
    return PlainAsk(service=RECORDS, business_id=business_id, **fields)
