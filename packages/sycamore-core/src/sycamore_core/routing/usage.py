"""Reports between entries about the resources that workspaces use."""

import msgspec

from ..ids import WorkspaceId


class WorkspaceUsage(msgspec.Struct, frozen=True, array_like=True):
    """Resources that one workspace uses through one entry.

    Attributes
    ----------
    engine_ms_per_s
        Engine time used per second, in milliseconds: reading and generating.
    memory_tokens
        Memory in use or reserved, in tokens.
    waiting
        Number of requests that wait for a slot.
    """

    workspace: WorkspaceId
    engine_ms_per_s: float
    memory_tokens: int
    waiting: int
