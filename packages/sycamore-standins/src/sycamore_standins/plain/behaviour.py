"""How the plain service behaves, as a test wants it."""

import msgspec


class Behaviour(msgspec.Struct):
    """How the service answers, as a test wants it.

    Attributes
    ----------
    delay_seconds
        Time from the record of a call to its answer.
    failures
        Number of calls to answer with 500 from now on; they are recorded.
    """

    delay_seconds: float = 0
    failures: int = 0
