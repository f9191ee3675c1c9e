"""Messages with the frames of an answer and their acknowledgement."""

import msgspec

from ..ids import Attempt, RequestId, Sequence
from ..states import Outcome, RefusalReason
from .base import BaseMessage
from .requests import PlainReply


class Close(msgspec.Struct, frozen=True, array_like=True):
    """End of an answer, which distinguishes it from a truncated answer.

    Attributes
    ----------
    frames
        Number of frames before the closing one.
    checksum
        CRC-32 of the concatenated payloads of these frames.
    output_tokens
        Number of tokens generated.
    """

    outcome: Outcome
    frames: int
    checksum: int
    output_tokens: int = 0
    reason: RefusalReason | None = None


class Frame(BaseMessage, frozen=True):
    """A numbered part of an answer.

    Attributes
    ----------
    close
        Set on the last frame only, which has no payload.
    plain_reply
        Set only on the first frame of the answer of a plain service.
    """

    request_id: RequestId
    attempt: Attempt
    sequence: Sequence
    payload: bytes = b''
    tokens: int = 0
    close: Close | None = None
    plain_reply: PlainReply | None = None


class Ack(BaseMessage, frozen=True):
    """Acknowledges that the entry has forwarded all frames up to `sequence`.

    The endpoint process sends at most a window of frames beyond `sequence`,
    so that a slow caller slows the stream of the engine. It discards the
    answer once the closing frame is acknowledged.
    """

    request_id: RequestId
    sequence: Sequence
