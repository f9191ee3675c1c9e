"""Assembly of answers from late, duplicate or reordered frames."""

from .assembler import AnswerAssembler
from .sinks import AnswerSink

__all__ = ('AnswerAssembler', 'AnswerSink')
