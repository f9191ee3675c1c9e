"""Decisions of other components about waiting requests."""

import dataclasses
from collections.abc import Callable

from sycamore_core.ids import WorkspaceId

from ..calls import AdmittedRequest


def _no_position(workspace: WorkspaceId | None) -> float:
    return 0


def _always_served(call: AdmittedRequest) -> bool:
    return True


@dataclasses.dataclass
class WaitPolicy:
    """Decides how long and in which order requests wait.

    Attributes
    ----------
    position
        Returns the usage of a workspace divided by its fair share.
    can_be_served
        Returns whether a request is expected to be served within its time
        limit, given the requests that wait before it.
    """

    position: Callable[[WorkspaceId | None], float] = _no_position
    can_be_served: Callable[[AdmittedRequest], bool] = _always_served
