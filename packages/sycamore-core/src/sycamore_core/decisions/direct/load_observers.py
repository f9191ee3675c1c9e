"""Notifies components of engines whose load has decreased."""

from collections.abc import Callable, Mapping

from ...ids import EndpointId
from ...routing import EngineLoad

_IDLE = EngineLoad()


class LoadObservers:
    """Components that are told of engines whose load has decreased.

    Attributes
    ----------
    callbacks
        Called with each engine whose load has decreased.
    is_needed
        Returns whether reports of peers are compared at all, which takes some
        of the time of applying them.

    Examples
    --------
    >>> observers = LoadObservers()
    >>> observers.callbacks.append(print)
    >>> observers.notify_decreases(
    ...     {'e1': EngineLoad(requests=2), 'e2': EngineLoad(requests=1)},
    ...     {'e1': EngineLoad(requests=1), 'e2': EngineLoad(requests=1)},
    ... )
    e1
    """

    def __init__(self) -> None:
        self.callbacks: list[Callable[[EndpointId], None]] = []
        self.is_needed: Callable[[], bool] = self._has_callbacks

    def notify(self, endpoint: EndpointId) -> None:
        """Report an engine whose load has decreased."""
        for callback in self.callbacks:
            callback(endpoint)

    def notify_decreases(
        self,
        before: Mapping[EndpointId, EngineLoad],
        after: Mapping[EndpointId, EngineLoad],
    ) -> None:
        """Report the engines with fewer requests or less memory in use.

        Engines that are missing in `after` are idle.
        """
        for endpoint, load in before.items():
            left = after.get(endpoint, _IDLE)
            has_more_slots = left.requests < load.requests
            if has_more_slots or left.memory_tokens < load.memory_tokens:
                self.notify(endpoint)

    def _has_callbacks(self) -> bool:
        return bool(self.callbacks)
