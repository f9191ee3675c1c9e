"""Messages that carry an answer and its acknowledgement."""

import msgspec

from ..ids import Attempt, RequestId, Sequence
from ..states import Outcome, RefusalReason
from .base import BaseMessage
from .requests import PlainReply


class Close(msgspec.Struct, frozen=True, array_like=True):
    """End of an answer, by which a cut one can be told from a whole one.

    Attributes
    ----------
    frames
        Number of frames before the closing one.
    checksum
        CRC-32 of the payloads of these frames, one after the other.
    output_tokens
        Number of tokens generated.
    """

    outcome: Outcome
    frames: int
    checksum: int
    output_tokens: int = 0
    reason: RefusalReason | None = None


class Frame(BaseMessage, frozen=True):
    """A numbered piece of an answer.

    Attributes
    ----------
    close
        Set on the last frame only, which has no payload.
    plain_reply
        Set on the first frame of a plain service's answer.
    """

    request_id: RequestId
    attempt: Attempt
    sequence: Sequence
    payload: bytes = b''
    tokens: int = 0
    close: Close | None = None
    plain_reply: PlainReply | None = None


class Ack(BaseMessage, frozen=True):
    """The entry has handed on all frames up to `sequence`.

    The endpoint process sends at most a window of frames beyond it, which
    is how a slow caller slows the engine's stream, and forgets the answer
    once the closing frame is acknowledged.
    """

    request_id: RequestId
    sequence: Sequence
