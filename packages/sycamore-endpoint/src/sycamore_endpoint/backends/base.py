"""The interface of all back end clients."""

import abc
from collections.abc import AsyncIterator, Callable

import msgspec
from sycamore_core.ids import RequestId
from sycamore_core.messages import Offer, PlainReply

#: Returns whether the run may still start; called when the body of the call
#: is written.
StartGate = Callable[[], bool]


class AnswerChunk(msgspec.Struct, frozen=True):
    """A part of an answer, as received from the back end."""

    payload: bytes = b''
    tokens: int = 0
    plain_reply: PlainReply | None = None


class Backend(abc.ABC):
    """Runs requests and streams their answers."""

    @abc.abstractmethod
    def stream_answer(
        self,
        offer: Offer,
        gate: StartGate,
        seconds: float,
    ) -> AsyncIterator[AnswerChunk]:
        """Run a request and yield its answer until it is complete.

        Parameters
        ----------
        gate
            Called once, when the first byte of the body is written.
        seconds
            Time left to the run, in seconds.

        Raises
        ------
        NotStartedError
            If the gate returned False, or the back end was not reached.
        BackendBusyError
            If the back end had no capacity; the request did not run.
        BackendError
            If the call failed; the request may have run.
        """

    @abc.abstractmethod
    async def cancel(self, request_id: RequestId) -> bool:
        """Cancel a run; True if the back end holds no memory for it."""
