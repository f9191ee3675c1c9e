"""The answer of one run: its frames, its checksum and its window."""

import zlib
from collections.abc import Sequence as Series

from sycamore_core.ids import Attempt, RequestId, Sequence
from sycamore_core.messages import Close, Frame, PlainReply
from sycamore_core.states import Outcome, RefusalReason

#: Frames that may be on their way to an entry without its acknowledgement.
#: At 30 ms a step this is two seconds of one stream, far above the round trip
#: between two zones (3 ms), and bounds what a slow caller makes us hold.
WINDOW_FRAMES = 64


class Answer:
    """Frames of one attempt, kept until the answer is forgotten.

    An acknowledged frame stays: the entry has handed it on, but its caller
    may have lost it with the connection and ask for it again through another
    entry.

    Attributes
    ----------
    acked
        Highest sequence that the entry has handed on; -1 at first.
    posted
        Highest sequence that was posted to the entry; -1 at first.

    Examples
    --------
    >>> answer = Answer(RequestId('r'), Attempt(1))
    >>> answer.add(b'ab', tokens=1)
    >>> answer.end(Outcome.COMPLETE)
    >>> [frame.sequence for frame in answer.due()]
    [0, 1]
    """

    def __init__(self, request_id: RequestId, attempt: Attempt) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.frames: list[Frame] = []
        self.checksum = 0
        self.tokens = 0
        self.size = 0
        self.acked = -1
        self.posted = -1

    @property
    def closed(self) -> bool:
        """Whether the closing frame is there."""
        return bool(self.frames) and self.frames[-1].close is not None

    @property
    def taken(self) -> bool:
        """Whether the closing frame was acknowledged."""
        return self.closed and self.acked >= len(self.frames) - 1

    @property
    def has_room(self) -> bool:
        """Whether the window lets another frame be read from the engine."""
        waiting = len(self.frames) - 1 - self.acked
        return waiting < WINDOW_FRAMES

    def add(
        self,
        payload: bytes,
        tokens: int,
        plain_reply: PlainReply | None = None,
    ) -> None:
        """Append a piece of the answer; ignored once it is closed."""
        if self.closed:
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
        """Append the closing frame; only the first call has an effect."""
        if self.closed:
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

    def due(self) -> Series[Frame]:
        """Return the frames to post now and count them as posted."""
        first = self.posted + 1
        beyond = self.acked + 1 + WINDOW_FRAMES
        due = self.frames[first:beyond]
        self.posted += len(due)
        return due

    def acknowledge(self, sequence: int) -> None:
        """Note that the entry handed on the frames up to `sequence`.

        A number beyond what was posted comes from a broken or foreign
        message; it is ignored, or the rest of the answer would be withheld.
        """
        if self.acked < sequence <= self.posted:
            self.acked = sequence

    def rewind(self, after: int) -> None:
        """Let the frames after `after` be posted again."""
        newest = len(self.frames) - 1
        last = min(max(after, -1), newest)
        self.acked = last
        self.posted = last

    def latest(self) -> Frame | None:
        """Return the frame posted last, if it is not acknowledged."""
        if self.posted <= self.acked:
            return None
        return self.frames[self.posted]
