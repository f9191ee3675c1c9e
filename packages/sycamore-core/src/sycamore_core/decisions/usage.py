"""What each workspace has been served lately, for the operators."""

from collections.abc import Mapping

import msgspec

from ..ids import WorkspaceId
from ..settings import WorkspaceSettings
from .scheduler import WorkspaceSnapshot

#: Time after which a served token counts half, in seconds.
HALF_LIFE_SECONDS = 60.0


class Usage(msgspec.Struct):
    """Counts of one workspace."""

    waiting: int = 0
    running: int = 0
    tokens: float = 0
    updated_at: float = 0

    def add(self, tokens: float, now: float) -> None:
        """Count tokens that were served."""
        self.tokens = self.tokens_at(now) + tokens
        self.updated_at = now

    def tokens_at(self, now: float) -> float:
        """Return the tokens served lately."""
        age = now - self.updated_at
        return self.tokens * 0.5 ** (age / HALF_LIFE_SECONDS)


class UsageBook:
    """Counts of all workspaces."""

    def __init__(self) -> None:
        self.usages: dict[WorkspaceId, Usage] = {}

    def of(self, workspace: WorkspaceId) -> Usage:
        """Return the counts of a workspace; changed in place."""
        usage = self.usages.get(workspace)
        if usage is None:
            usage = Usage()
            self.usages[workspace] = usage
        return usage

    def snapshot(
        self,
        workspaces: Mapping[WorkspaceId, WorkspaceSettings],
        now: float,
    ) -> tuple[WorkspaceSnapshot, ...]:
        """Return the share of each workspace beside its entitlement."""
        total_weight = sum(one.weight for one in workspaces.values()) or 1
        tokens = {
            name: usage.tokens_at(now) for name, usage in self.usages.items()
        }
        total = sum(tokens.values()) or 1
        return tuple(
            WorkspaceSnapshot(
                workspace=name,
                waiting=self.of(name).waiting,
                running=self.of(name).running,
                served_tokens=tokens.get(name, 0),
                share=tokens.get(name, 0) / total,
                entitled=settings.weight / total_weight,
            )
            for name, settings in workspaces.items()
        )
