"""The fleet of the chaos rounds."""

import pathlib

from sycamore_core.ids import ServiceId, WorkspaceId, ZoneId
from sycamore_core.settings import load_process_settings
from sycamore_core.settings.tree import ServiceNode
from sycamore_core.states import EndpointKind

from ..engine import EngineProfile
from ..fleet import (
    EntryPlan,
    FleetPlan,
    ModelPlan,
    PlainPlan,
    WorkspacePlan,
)

ASSISTANT = ServiceId('assistant')
RECORDS = ServiceId('records')
_ZONES = (ZoneId('zone-a'), ZoneId('zone-b'), ZoneId('zone-c'))
_PROFILE_FILE = pathlib.Path(__file__).with_name('profile.json')


def chaos_plan() -> FleetPlan:
    """Return two entries, three engines and two plain services."""
    profile = load_process_settings(str(_PROFILE_FILE), EngineProfile)
    return FleetPlan(
        name='chaos',
        entries=tuple(EntryPlan(zone) for zone in _ZONES[:2]),
        models=tuple(
            ModelPlan(service=ASSISTANT, zone=zone, profile=profile)
            for zone in _ZONES
        ),
        plains=tuple(
            PlainPlan(service=RECORDS, zone=zone) for zone in _ZONES[:2]
        ),
        workspaces=(
            WorkspacePlan(
                name=WorkspaceId('school'),
                api_key='key-of-the-school',
                services=(ASSISTANT, RECORDS),
            ),
        ),
        services={
            ASSISTANT: ServiceNode(),
            RECORDS: ServiceNode(kind=EndpointKind.PLAIN, idempotent=False),
        },
    )
