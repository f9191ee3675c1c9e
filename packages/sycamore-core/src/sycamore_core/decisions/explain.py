"""Replays one decision from a JSON document, for an operator who asks why.

Load pattern: a caller was refused, or waited, or went to an unexpected
endpoint, and somebody wants to know the reason afterwards.

Without it: one would have to read the code with the figures of a log line in
hand. The replay runs the very modules that decided.

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
    """Replay the decision of a JSON document.

    Raises
    ------
    DecisionError
        If the document is no decision that can be replayed; the message
        names the place.
    """
    try:
        decoded = _decoder.decode(case)
    except msgspec.DecodeError as error:
        raise DecisionError(f'not a decision: {error}') from error
    return replay(decoded)
