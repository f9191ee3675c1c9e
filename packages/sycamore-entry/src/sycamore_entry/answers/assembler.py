"""Orders the frames of one attempt and detects incomplete answers.

Frames can be lost with a connection, arrive twice after a repeated request
for missing frames, or belong to an abandoned attempt. Without a check, the
caller would receive parts of the text twice or not at all. Frames are
therefore numbered, the assembler delivers only the next number, and the
closing frame carries the count and the checksum of all frames before it.
"""

import zlib
from collections.abc import Iterator

from sycamore_core.ids import Attempt, Sequence
from sycamore_core.messages import Close, Frame
from sycamore_core.states import Outcome

from ..errors import IncompleteAnswerError


class AnswerAssembler:
    """Assembles the answer of one attempt.

    Parameters
    ----------
    attempt
        Frames of any other attempt are dropped.
    after
        Number of the last frame that the caller has received.

    Attributes
    ----------
    dropped
        Number of frames that were duplicates or of another attempt.
    last_delivered
        Number of the last frame that was delivered.

    Examples
    --------
    >>> assembler = AnswerAssembler(Attempt(1))
    >>> late = Frame('r', Attempt(1), Sequence(1), b'b')
    >>> list(assembler.add(late))
    []
    >>> first = Frame('r', Attempt(1), Sequence(0), b'a')
    >>> [frame.payload for frame in assembler.add(first)]
    [b'a', b'b']
    """

    def __init__(self, attempt: Attempt, after: int = -1) -> None:
        self.attempt = attempt
        self.last_delivered = after
        self.dropped = 0
        self._from_start = after < 0
        self._checksum = 0
        self._out_of_order: dict[int, Frame] = {}

    @property
    def has_gap(self) -> bool:
        """Whether received frames wait for a missing frame."""
        return bool(self._out_of_order)

    def add(self, frame: Frame) -> Iterator[Frame]:
        """Add a frame and yield the frames that are next in order.

        Raises
        ------
        IncompleteAnswerError
            If the closing frame does not match the frames before it.
        """
        if (
            frame.attempt != self.attempt
            or frame.sequence <= self.last_delivered
        ):
            self.dropped += 1
            return
        self._out_of_order[frame.sequence] = frame
        following = self._out_of_order.pop(self.last_delivered + 1, None)
        while following is not None:
            self._deliver(following)
            yield following
            following = self._out_of_order.pop(self.last_delivered + 1, None)

    def _deliver(self, frame: Frame) -> None:
        if frame.close is not None:
            self._check(frame.sequence, frame.close)
        self._checksum = zlib.crc32(frame.payload, self._checksum)
        self.last_delivered = frame.sequence

    def _check(self, sequence: Sequence, close: Close) -> None:
        if close.frames != sequence:
            raise IncompleteAnswerError(
                f'{close.frames} frames, {sequence} came'
            )
        # The checksum covers the whole answer. A caller that resumes an
        # answer checks it over both parts itself.
        comparable = self._from_start and close.outcome == Outcome.COMPLETE
        if comparable and close.checksum != self._checksum:
            raise IncompleteAnswerError('the checksum does not fit the frames')
