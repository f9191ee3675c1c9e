"""Puts the frames of one attempt in order and tells a whole answer from a cut.

What goes wrong: frames are lost with a connection, sent twice after a gap was
asked for again, or come from an attempt that was given up. The caller would
read a sentence twice or miss one. Frames are therefore numbered, only the
next number is handed on, and the closing frame carries the count and the
checksum of all before it.
"""

import zlib
from collections.abc import Iterator

from sycamore_core.ids import Attempt, Sequence
from sycamore_core.messages import Close, Frame
from sycamore_core.states import Outcome

from ..errors import CutAnswerError


class AnswerAssembler:
    """The answer of one attempt, as far as it has come.

    Parameters
    ----------
    attempt
        Frames of any other attempt are dropped.
    after
        Number of the last frame that the caller has already.

    Attributes
    ----------
    dropped
        Frames that were doubled or of another attempt.

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
        self.handed_on = after
        self.dropped = 0
        self._from_start = after < 0
        self._checksum = 0
        self._early: dict[int, Frame] = {}

    @property
    def has_gap(self) -> bool:
        """Whether frames wait for one that has not come."""
        return bool(self._early)

    def add(self, frame: Frame) -> Iterator[Frame]:
        """Take a frame and yield those that are next in order.

        Raises
        ------
        CutAnswerError
            If the closing frame does not fit what came before it.
        """
        if frame.attempt != self.attempt or frame.sequence <= self.handed_on:
            self.dropped += 1
            return
        self._early[frame.sequence] = frame
        following = self._early.pop(self.handed_on + 1, None)
        while following is not None:
            self._hand_on(following)
            yield following
            following = self._early.pop(self.handed_on + 1, None)

    def _hand_on(self, frame: Frame) -> None:
        if frame.close is not None:
            self._check(frame.sequence, frame.close)
        self._checksum = zlib.crc32(frame.payload, self._checksum)
        self.handed_on = frame.sequence

    def _check(self, sequence: Sequence, close: Close) -> None:
        if close.frames != sequence:
            raise CutAnswerError(f'{close.frames} frames, {sequence} came')
        # The checksum covers the whole answer; a caller that came back for
        # the rest of one checks it over both parts itself.
        comparable = self._from_start and close.outcome == Outcome.COMPLETE
        if comparable and close.checksum != self._checksum:
            raise CutAnswerError('the checksum does not fit the frames')
