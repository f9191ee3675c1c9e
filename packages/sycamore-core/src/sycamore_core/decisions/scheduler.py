"""Interface of all scheduling decisions of an entry process.

The entry process and the virtual-time driver of the tests both run a
`Scheduler`, so that the tests measure the code that runs in production.
"""

import abc
from collections.abc import Callable, Sequence

import msgspec

from ..ids import EndpointId, RequestId, WorkspaceId
from ..settings import FleetSettings
from ..states import Outcome, RefusalReason, RetryReason
from .requests import RequestView
from .views import EndpointView

#: Returns a random number from 0 to 1. A seeded generator makes every decision
#: reproducible.
Draw = Callable[[], float]


class Queued(msgspec.Struct, frozen=True):
    """The request is queued until it is offered to an endpoint.

    Attributes
    ----------
    expected_wait
        Estimated time until its first token, in seconds.
    """

    expected_wait: float = 0


class Refusal(msgspec.Struct, frozen=True):
    """The request is refused; the caller is informed at once.

    Attributes
    ----------
    reason
        Reason of the refusal.
    retry_after
        Time after which the caller may retry, in seconds.
    detail
        Figures that the decision is based on, as a text for an operator.
    """

    request_id: RequestId
    reason: RefusalReason
    retry_after: float
    detail: str = ''


class Dispatch(msgspec.Struct, frozen=True):
    """The request is to be offered to an endpoint now.

    Attributes
    ----------
    endpoint
        Endpoint that serves the request; the leader of its group.
    priority
        Priority in the engine; a lower value is served first.
    members
        Endpoints that compute the other spans of a prompt that exceeds one
        engine, in span order.
    reason
        Reason for choosing this endpoint, for logs and counters.
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
    """Usage of one workspace, for an operator.

    Attributes
    ----------
    waiting, running
        Numbers of waiting and of running requests.
    served_tokens
        Tokens charged, with a half-life of one minute.
    share
        Fraction of all served tokens, from 0 to 1.
    entitled
        Fraction that the weight of the workspace entitles it to, from 0 to 1.
    """

    workspace: WorkspaceId
    waiting: int
    running: int
    served_tokens: float
    share: float
    entitled: float


class SchedulerSnapshot(msgspec.Struct, frozen=True):
    """State of the scheduler, for an operator."""

    waiting: int
    running: int
    workspaces: tuple[WorkspaceSnapshot, ...] = ()
    endpoints: tuple[EndpointView, ...] = ()


class Scheduler(abc.ABC):
    """Decides on admission, order, placement and retries of requests.

    A request starts with `submit`. Each `dispatch` of the request is followed
    by `accepted`, `declined` or `lost`. The request ends with `finished`.
    """

    @abc.abstractmethod
    def update_settings(self, settings: FleetSettings, now: float) -> None:
        """Apply a newer settings tree."""

    @abc.abstractmethod
    def update_endpoint(self, view: EndpointView, now: float) -> None:
        """Apply a report of an endpoint."""

    @abc.abstractmethod
    def remove_endpoint(self, endpoint: EndpointId, now: float) -> None:
        """Remove an endpoint that is silent or gone."""

    @abc.abstractmethod
    def submit(self, request: RequestView, now: float) -> Queued | Refusal:
        """Admit a request to the queue, or refuse it."""

    @abc.abstractmethod
    def dispatch(self, now: float) -> Sequence[Dispatch | Refusal]:
        """Return the requests to offer or to refuse now, in order."""

    @abc.abstractmethod
    def accepted(
        self,
        request_id: RequestId,
        endpoint: EndpointId,
        now: float,
    ) -> None:
        """Record that an endpoint runs the request."""

    @abc.abstractmethod
    def declined(self, refusal: Refusal, now: float) -> Requeued | Refusal:
        """Retry or refuse a request that an endpoint has declined.

        Parameters
        ----------
        refusal
            Reason of the endpoint, and when it would accept the request.
        """

    @abc.abstractmethod
    def lost(
        self,
        request_id: RequestId,
        reason: RetryReason,
        now: float,
    ) -> Requeued | Refusal:
        """Retry or refuse a request whose attempt has failed.

        Called only if running the request again is safe: the request is
        idempotent, or it is known that the attempt did not run it.
        """

    @abc.abstractmethod
    def first_token(self, request_id: RequestId, now: float) -> None:
        """Record that the first token has arrived."""

    @abc.abstractmethod
    def finished(
        self,
        request_id: RequestId,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Remove a request that is answered, failed or abandoned."""

    @abc.abstractmethod
    def next_wake(self, now: float) -> float:
        """Return the latest time of the next `dispatch`, in seconds."""

    @abc.abstractmethod
    def snapshot(self, now: float) -> SchedulerSnapshot:
        """Return the state for an operator."""
