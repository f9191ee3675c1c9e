"""Replay of one decision from a JSON document, for operators.

Load pattern: a request was refused, delayed or sent to an unexpected endpoint,
and an operator asks for the reason afterwards.

Without the replay, the operator has to read the code and apply it to the
figures of a log line. The replay runs the same modules that made the decision.

Examples
--------
>>> print(explain(b'''{
...   "decision": "pace", "endpoint": "e1", "updates": [
...     {"at": 0, "targets": {"e1": 1}}, {"at": 1, "targets": {"e1": 0}}
...   ]}'''))
decision: weight 0
reason: target 0 is followed at once
target: 0.0
weight before: 1.0
"""

import msgspec

from ..errors import DecisionError
from .explain_cases import Case
from .explanation import Explanation
from .replays import replay

_decoder = msgspec.json.Decoder(Case)


def explain(case: bytes) -> Explanation:
    """Replay the decision that a JSON document describes.

    Raises
    ------
    DecisionError
        If the document does not describe a decision that can be replayed. The
        message names the location of the fault.
    """
    try:
        decoded = _decoder.decode(case)
    except msgspec.DecodeError as error:
        raise DecisionError(f'invalid decision document: {error}') from error
    return replay(decoded)
