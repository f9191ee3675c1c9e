"""The interface to the destination of an answer."""

import abc
from collections.abc import Sequence

from sycamore_core.ids import RequestId
from sycamore_core.messages import Close, Frame

from ..errors import RefusedError


class AnswerSink(abc.ABC):
    """Writes an answer in order; each call waits until the caller has room."""

    @abc.abstractmethod
    async def start(self, request_id: RequestId) -> None:
        """Report to the caller that the request runs, and its id."""

    @abc.abstractmethod
    async def write_frames(self, frames: Sequence[Frame]) -> None:
        """Write some frames of the answer."""

    @abc.abstractmethod
    async def close(self, close: Close) -> None:
        """Write the end of the answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Abort the connection; the answer goes to another connection.

        A connection that closes normally without content looks like an empty
        answer. The caller would then assume that, for example, a deposit was
        recorded, although the other connection may still get a refusal.
        """

    @abc.abstractmethod
    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        """Report that there is no answer, or no further part of the answer."""
