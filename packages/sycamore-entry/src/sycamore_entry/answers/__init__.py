"""Answers put together from frames that may come late, twice or disordered."""

from .assembler import AnswerAssembler
from .sinks import AnswerSink

__all__ = ('AnswerAssembler', 'AnswerSink')
