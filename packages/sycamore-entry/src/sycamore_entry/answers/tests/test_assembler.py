"""Tests of putting an answer together."""

import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sycamore_core.ids import Attempt, RequestId, Sequence
from sycamore_core.messages import Close, Frame
from sycamore_core.states import Outcome

from ...errors import CutAnswerError
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
def test_any_order_and_doubling_gives_the_whole_answer(
    arrival: tuple[list[bytes], list[Frame]],
) -> None:
    """Packets overtake each other and are sent again after a gap.

    The caller must still read each piece once and in order.
    """
    payloads, frames = arrival
    assembler = AnswerAssembler(ATTEMPT)
    handed_on = [ready for frame in frames for ready in assembler.add(frame)]
    assert [frame.payload for frame in handed_on[:-1]] == payloads
    assert handed_on[-1].close is not None


def test_frames_of_another_attempt_are_dropped() -> None:
    """A paused endpoint wakes up and sends the answer of a given up attempt.

    The caller would read two answers mixed into one.
    """
    assembler = AnswerAssembler(ATTEMPT)
    late = Frame(REQUEST, Attempt(1), Sequence(0), b'late')
    assert not list(assembler.add(late))
    assert assembler.dropped == 1


def test_wrong_checksum_is_a_cut_answer() -> None:
    """A piece is altered on its way; the caller must not take it as whole."""
    frames = make_frames([b'one', b'two'])
    assembler = AnswerAssembler(ATTEMPT)
    altered = Frame(REQUEST, ATTEMPT, Sequence(0), b'won')
    with pytest.raises(CutAnswerError):
        for frame in (altered, *frames[1:]):
            list(assembler.add(frame))


def test_wrong_count_is_a_cut_answer() -> None:
    close = Close(Outcome.COMPLETE, 5, 0)
    last = Frame(REQUEST, ATTEMPT, Sequence(0), close=close)
    with pytest.raises(CutAnswerError):
        list(AnswerAssembler(ATTEMPT).add(last))


def test_rest_of_an_answer_begins_after_what_the_caller_has() -> None:
    frames = make_frames([b'one', b'two', b'three'])
    assembler = AnswerAssembler(ATTEMPT, after=1)
    rest = [ready for frame in frames for ready in assembler.add(frame)]
    assert [frame.sequence for frame in rest] == [2, 3]
