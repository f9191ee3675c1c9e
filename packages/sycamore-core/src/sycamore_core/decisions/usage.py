"""Recent usage of each workspace, for operators."""

from collections.abc import Mapping

import msgspec

from ..ids import WorkspaceId
from ..settings import WorkspaceSettings
from .scheduler import WorkspaceSnapshot

#: Half-life of a served token in the usage, in seconds.
HALF_LIFE_SECONDS = 60.0


class Usage(msgspec.Struct):
    """Counts of one workspace.

    Attributes
    ----------
    waiting, running
        Numbers of waiting and of running requests.
    tokens
        Served tokens at `updated_at`, decayed with `HALF_LIFE_SECONDS`.
    updated_at
        Time of the last update, in seconds.
    """

    waiting: int = 0
    running: int = 0
    tokens: float = 0
    updated_at: float = 0

    def add(self, tokens: float, now: float) -> None:
        """Add served tokens."""
        self.tokens = self.tokens_at(now) + tokens
        self.updated_at = now

    def tokens_at(self, now: float) -> float:
        """Return the decayed number of served tokens."""
        age = now - self.updated_at
        return self.tokens * 0.5 ** (age / HALF_LIFE_SECONDS)


class UsageTracker:
    """Counts of all workspaces."""

    def __init__(self) -> None:
        self.usages: dict[WorkspaceId, Usage] = {}

    def usage_of(self, workspace: WorkspaceId) -> Usage:
        """Return the mutable counts of a workspace."""
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
        """Return the share and the entitlement of each workspace."""
        total_weight = (
            sum(settings.weight for settings in workspaces.values()) or 1
        )
        tokens = {
            name: usage.tokens_at(now) for name, usage in self.usages.items()
        }
        total = sum(tokens.values()) or 1
        return tuple(
            WorkspaceSnapshot(
                workspace=name,
                waiting=self.usage_of(name).waiting,
                running=self.usage_of(name).running,
                served_tokens=tokens.get(name, 0),
                share=tokens.get(name, 0) / total,
                entitled=settings.weight / total_weight,
            )
            for name, settings in workspaces.items()
        )
