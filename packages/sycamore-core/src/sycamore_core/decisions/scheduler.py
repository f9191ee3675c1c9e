"""The interface of all decisions that an entry process takes.

The entry process and the virtual-time driver of the tests both run a
`Scheduler` and nothing else, so that what is measured is what runs.
"""

import abc
from collections.abc import Callable, Sequence

import msgspec

from ..ids import EndpointId, RequestId, WorkspaceId
from ..settings import FleetSettings
from ..states import Outcome, RefusalReason, RetryReason
from .requests import RequestView
from .views import EndpointView

#: Returns a number from 0 to 1; a seeded one makes every decision repeatable.
Draw = Callable[[], float]


class Queued(msgspec.Struct, frozen=True):
    """The request waits to be offered to an endpoint.

    Attributes
    ----------
    expected_wait
        Estimated time until its first token, in seconds.
    """

    expected_wait: float = 0


class Refusal(msgspec.Struct, frozen=True):
    """The request is given up; its caller is told at once.

    Attributes
    ----------
    retry_after
        When to come back, in seconds.
    detail
        What the decision was based on, in words for an operator.
    """

    request_id: RequestId
    reason: RefusalReason
    retry_after: float
    detail: str = ''


class Dispatch(msgspec.Struct, frozen=True):
    """The request is to be offered to an endpoint now.

    Attributes
    ----------
    members
        Endpoints that hold the other spans of a prompt beyond one engine, in
        span order; `endpoint` leads them.
    reason
        Why this endpoint, for logs and counters.
    """

    request_id: RequestId
    endpoint: EndpointId
    priority: int = 0
    members: tuple[EndpointId, ...] = ()
    reason: str = ''


class Requeued(msgspec.Struct, frozen=True):
    """The request will be offered again, not before `not_before`."""

    request_id: RequestId
    reason: RetryReason
    not_before: float


class WorkspaceSnapshot(msgspec.Struct, frozen=True):
    """Share of one workspace, as an operator sees it.

    Attributes
    ----------
    served_tokens
        Tokens charged lately, halved every minute.
    share
        Part of all that was served lately, from 0 to 1.
    entitled
        Part that its weight entitles it to, from 0 to 1.
    """

    workspace: WorkspaceId
    waiting: int
    running: int
    served_tokens: float
    share: float
    entitled: float


class SchedulerSnapshot(msgspec.Struct, frozen=True):
    """State of the scheduler, as an operator sees it."""

    waiting: int
    running: int
    workspaces: tuple[WorkspaceSnapshot, ...] = ()
    endpoints: tuple[EndpointView, ...] = ()


class Scheduler(abc.ABC):
    """Decides whom to serve, in which order, where, and what to try again.

    A request goes through `submit`, then `dispatch` one or more times, each
    answered by `accepted`, `declined` or `lost`, and ends by `finished`.
    """

    @abc.abstractmethod
    def update_settings(self, settings: FleetSettings, now: float) -> None:
        """Take a newer settings tree into force."""

    @abc.abstractmethod
    def update_endpoint(self, view: EndpointView, now: float) -> None:
        """Take a report of an endpoint."""

    @abc.abstractmethod
    def remove_endpoint(self, endpoint: EndpointId, now: float) -> None:
        """Forget an endpoint that is silent or gone."""

    @abc.abstractmethod
    def submit(self, request: RequestView, now: float) -> Queued | Refusal:
        """Admit a request to the queue, or refuse it."""

    @abc.abstractmethod
    def dispatch(self, now: float) -> Sequence[Dispatch | Refusal]:
        """Return what is to be offered or given up now, in order."""

    @abc.abstractmethod
    def accepted(
        self,
        request_id: RequestId,
        endpoint: EndpointId,
        now: float,
    ) -> None:
        """Note that an endpoint runs the request."""

    @abc.abstractmethod
    def declined(self, refusal: Refusal, now: float) -> Requeued | Refusal:
        """Decide what follows when an endpoint does not run the request.

        Parameters
        ----------
        refusal
            The endpoint's reason and when it would take the request.
        """

    @abc.abstractmethod
    def lost(
        self,
        request_id: RequestId,
        reason: RetryReason,
        now: float,
    ) -> Requeued | Refusal:
        """Decide what follows when an attempt that never ran is over.

        It is called only when running the request again breaks no promise:
        it is idempotent, or it is known not to have run.
        """

    @abc.abstractmethod
    def first_token(self, request_id: RequestId, now: float) -> None:
        """Note that the caller's first token has come."""

    @abc.abstractmethod
    def finished(
        self,
        request_id: RequestId,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Forget a request that is answered, failed or abandoned."""

    @abc.abstractmethod
    def next_wake(self, now: float) -> float:
        """Return when `dispatch` is next due at the latest, in seconds."""

    @abc.abstractmethod
    def snapshot(self, now: float) -> SchedulerSnapshot:
        """Return the state for an operator."""
