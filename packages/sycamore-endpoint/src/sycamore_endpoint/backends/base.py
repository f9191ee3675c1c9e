"""The interface of all back ends."""

import abc
from collections.abc import AsyncIterator, Callable

import msgspec
from sycamore_core.ids import RequestId
from sycamore_core.messages import Offer, PlainReply

#: Decides, at the moment at which the body of the call is written, whether
#: the run may still begin.
StartGate = Callable[[], bool]


class Piece(msgspec.Struct, frozen=True):
    """A part of an answer as the back end gives it."""

    payload: bytes = b''
    tokens: int = 0
    plain_reply: PlainReply | None = None


class Backend(abc.ABC):
    """Runs requests and gives their answers piece by piece."""

    @abc.abstractmethod
    def pieces(
        self,
        offer: Offer,
        gate: StartGate,
        seconds: float,
    ) -> AsyncIterator[Piece]:
        """Run a request; ends when its answer is whole.

        Parameters
        ----------
        gate
            Asked once, when the first byte of the body is written.
        seconds
            Time that is left to the run.

        Raises
        ------
        NotStartedError
            If the gate said no, or the back end was never reached.
        BackendBusyError
            If the back end had no room; it did not run.
        BackendError
            If it failed; it may have run.
        """

    @abc.abstractmethod
    async def cancel(self, request_id: RequestId) -> bool:
        """Give a run up; True if the back end certainly holds nothing."""
