"""Tests of the assembly of answers."""

import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sycamore_core.ids import Attempt, RequestId, Sequence
from sycamore_core.messages import Close, Frame
from sycamore_core.states import Outcome

from ...errors import IncompleteAnswerError
from .. import AnswerAssembler

REQUEST = RequestId('r')
ATTEMPT = Attempt(2)


def make_frames(payloads: list[bytes]) -> list[Frame]:
    frames = [
        Frame(REQUEST, ATTEMPT, Sequence(number), payload)
        for number, payload in enumerate(payloads)
    ]
    checksum = zlib.crc32(b''.join(payloads))
    close = Close(Outcome.COMPLETE, len(payloads), checksum)
    last = Sequence(len(payloads))
    return [*frames, Frame(REQUEST, ATTEMPT, last, close=close)]


@st.composite
def arrivals(draw: st.DrawFn) -> tuple[list[bytes], list[Frame]]:
    payloads = draw(st.lists(st.binary(max_size=4), max_size=8))
    frames = make_frames(payloads)
    doubled = frames + draw(st.lists(st.sampled_from(frames), max_size=8))
    return payloads, draw(st.permutations(doubled))


@settings(derandomize=True, max_examples=200)
@given(arrivals())
def test_reordered_and_duplicate_frames_give_the_whole_answer(
    arrival: tuple[list[bytes], list[Frame]],
) -> None:
    """Packets arrive out of order and are sent again after a gap.

    The caller must still receive each frame once and in order.
    """
    payloads, frames = arrival
    assembler = AnswerAssembler(ATTEMPT)
    delivered = [ready for frame in frames for ready in assembler.add(frame)]
    assert [frame.payload for frame in delivered[:-1]] == payloads
    assert delivered[-1].close is not None


def test_frames_of_another_attempt_are_dropped() -> None:
    """A suspended endpoint resumes and sends the answer of an old attempt.

    Without the check, the caller would receive a mixture of two answers.
    """
    assembler = AnswerAssembler(ATTEMPT)
    late = Frame(REQUEST, Attempt(1), Sequence(0), b'late')
    assert not list(assembler.add(late))
    assert assembler.dropped == 1


def test_wrong_checksum_is_an_incomplete_answer() -> None:
    """A frame altered in transit must not count as part of the answer."""
    frames = make_frames([b'one', b'two'])
    assembler = AnswerAssembler(ATTEMPT)
    altered = Frame(REQUEST, ATTEMPT, Sequence(0), b'won')
    with pytest.raises(IncompleteAnswerError):
        for frame in (altered, *frames[1:]):
            list(assembler.add(frame))


def test_wrong_count_is_an_incomplete_answer() -> None:
    close = Close(Outcome.COMPLETE, 5, 0)
    last = Frame(REQUEST, ATTEMPT, Sequence(0), close=close)
    with pytest.raises(IncompleteAnswerError):
        list(AnswerAssembler(ATTEMPT).add(last))


def test_resumed_answer_begins_after_the_last_received_frame() -> None:
    frames = make_frames([b'one', b'two', b'three'])
    assembler = AnswerAssembler(ATTEMPT, after=1)
    rest = [ready for frame in frames for ready in assembler.add(frame)]
    assert [frame.sequence for frame in rest] == [2, 3]
