"""The fleet of the demo."""

from sycamore_core.ids import ServiceId, WorkspaceId, ZoneId
from sycamore_core.settings import Target
from sycamore_core.settings.tree import ServiceNode
from sycamore_core.states import EndpointKind, PromptBand

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
_ENGINES_A_ZONE = 2


def demo_plan(profile: EngineProfile) -> FleetPlan:
    """Return two entries, six engines and two plain services in three zones."""
    return FleetPlan(
        name='demo',
        entries=tuple(EntryPlan(zone) for zone in _ZONES[:2]),
        models=tuple(
            ModelPlan(service=ASSISTANT, zone=zone, profile=profile)
            for zone in _ZONES * _ENGINES_A_ZONE
        ),
        plains=tuple(
            PlainPlan(service=RECORDS, zone=zone) for zone in _ZONES[:2]
        ),
        workspaces=(
            _workspace('pwani-surf', 'key-of-the-alliance'),
            _workspace('biogas-llanura', 'key-of-the-cooperative'),
        ),
        services={
            ASSISTANT: ServiceNode(
                targets=(
                    Target(PromptBand.SHORT, first_token_seconds=1),
                    Target(PromptBand.MEDIUM, first_token_seconds=2),
                ),
            ),
            RECORDS: ServiceNode(kind=EndpointKind.PLAIN, idempotent=False),
        },
    )


def _workspace(name: str, api_key: str) -> WorkspacePlan:
    return WorkspacePlan(
        name=WorkspaceId(name),
        api_key=api_key,
        services=(ASSISTANT, RECORDS),
    )
