"""Where an answer goes, whatever form its caller asked for."""

import abc
from collections.abc import Sequence

from sycamore_core.ids import RequestId
from sycamore_core.messages import Close, Frame

from ..errors import RefusedError


class AnswerSink(abc.ABC):
    """Takes an answer in order; each call returns once the caller has room."""

    @abc.abstractmethod
    async def admitted(self, request_id: RequestId) -> None:
        """Tell the caller that the request runs and under which id."""

    @abc.abstractmethod
    async def frames(self, frames: Sequence[Frame]) -> None:
        """Hand on some frames of the answer."""

    @abc.abstractmethod
    async def close(self, close: Close) -> None:
        """Hand on the end of the answer."""

    @abc.abstractmethod
    def abandon(self) -> None:
        """Break the connection off; the answer goes to another one.

        What goes wrong otherwise: a connection that ends in order with
        nothing sent reads as an empty answer, and its caller takes a deposit
        for recorded that may still be refused on the other connection.
        """

    @abc.abstractmethod
    async def refuse(
        self,
        request_id: RequestId,
        refused: RefusedError,
    ) -> None:
        """Hand on that there is no answer, or no rest of one."""
