"""Frames, checksum and send window of the answer of one run."""

import zlib
from collections.abc import Sequence as Series

from sycamore_core.ids import Attempt, RequestId, Sequence
from sycamore_core.messages import Close, Frame, PlainReply
from sycamore_core.states import Outcome, RefusalReason

#: Maximum number of frames posted to an entry and not acknowledged. At 30 ms
#: per step this covers two seconds of a stream, far more than the round trip
#: between two zones (3 ms). It also bounds the memory that a slow caller can
#: occupy.
WINDOW_FRAMES = 64


class Answer:
    """Frames of one attempt, kept until the answer is dropped.

    Acknowledged frames are kept as well. The entry has forwarded them, but
    the caller may have lost them with its connection and may request them
    again through another entry.

    Attributes
    ----------
    last_acknowledged
        Highest sequence number that the entry has forwarded; initially -1.
    last_posted
        Highest sequence number posted to the entry; initially -1.

    Examples
    --------
    >>> answer = Answer(RequestId('r'), Attempt(1))
    >>> answer.add(b'ab', tokens=1)
    >>> answer.end(Outcome.COMPLETE)
    >>> [frame.sequence for frame in answer.next_frames()]
    [0, 1]
    """

    def __init__(self, request_id: RequestId, attempt: Attempt) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.frames: list[Frame] = []
        self.checksum = 0
        self.tokens = 0
        self.size = 0
        self.last_acknowledged = -1
        self.last_posted = -1

    @property
    def is_closed(self) -> bool:
        """Whether the answer has its closing frame."""
        return bool(self.frames) and self.frames[-1].close is not None

    @property
    def is_acknowledged(self) -> bool:
        """Whether the entry has acknowledged the closing frame."""
        return self.is_closed and self.last_acknowledged >= len(self.frames) - 1

    @property
    def has_capacity(self) -> bool:
        """Whether the window allows another frame to be read."""
        unacknowledged = len(self.frames) - 1 - self.last_acknowledged
        return unacknowledged < WINDOW_FRAMES

    def add(
        self,
        payload: bytes,
        tokens: int,
        plain_reply: PlainReply | None = None,
    ) -> None:
        """Append a frame; ignored once the answer is closed."""
        if self.is_closed:
            return
        self.checksum = zlib.crc32(payload, self.checksum)
        self.tokens += tokens
        self.size += len(payload)
        self.frames.append(
            Frame(
                request_id=self.request_id,
                attempt=self.attempt,
                sequence=Sequence(len(self.frames)),
                payload=payload,
                tokens=tokens,
                plain_reply=plain_reply,
            ),
        )

    def end(
        self,
        outcome: Outcome,
        reason: RefusalReason | None = None,
    ) -> None:
        """Append the closing frame; later calls have no effect."""
        if self.is_closed:
            return
        close = Close(
            outcome=outcome,
            frames=len(self.frames),
            checksum=self.checksum,
            output_tokens=self.tokens,
            reason=reason,
        )
        self.frames.append(
            Frame(
                request_id=self.request_id,
                attempt=self.attempt,
                sequence=Sequence(len(self.frames)),
                close=close,
            ),
        )

    def next_frames(self) -> Series[Frame]:
        """Return the frames to post now and mark them as posted."""
        first = self.last_posted + 1
        stop = self.last_acknowledged + 1 + WINDOW_FRAMES
        due = self.frames[first:stop]
        self.last_posted += len(due)
        return due

    def acknowledge(self, sequence: int) -> None:
        """Record that the entry forwarded the frames up to `sequence`.

        A number above the last posted frame comes from a corrupt or foreign
        message and is ignored. Otherwise the frames that it skips would never
        be sent.
        """
        if self.last_acknowledged < sequence <= self.last_posted:
            self.last_acknowledged = sequence

    def rewind(self, after: int) -> None:
        """Post the frames after sequence number `after` again."""
        newest = len(self.frames) - 1
        last = min(max(after, -1), newest)
        self.last_acknowledged = last
        self.last_posted = last

    def last_unacknowledged(self) -> Frame | None:
        """Return the last posted frame, or None if it is acknowledged."""
        if self.last_posted <= self.last_acknowledged:
            return None
        return self.frames[self.last_posted]
