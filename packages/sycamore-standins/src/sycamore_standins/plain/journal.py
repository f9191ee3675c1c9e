"""The calls that a plain service has received, in order."""

from collections import Counter

import msgspec

from ..record_file import RecordFile


class CallRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One call as it arrived.

    Attributes
    ----------
    request_id
        The header `Request-Id`.
    business_id
        What the call is about, such as a deposit, from its body; empty if
        the body names none.
    """

    method: str
    path: str
    request_id: str
    business_id: str
    body_bytes: int


class CallJournal:
    """Remembers calls.

    Parameters
    ----------
    path
        File that keeps them over a restart; empty for none.

    Examples
    --------
    >>> journal = CallJournal()
    >>> call = CallRecord(
    ...     method='POST', path='/deposits', request_id='r',
    ...     business_id='deposit-1', body_bytes=2,
    ... )
    >>> journal.add(call), journal.add(call)
    (1, 2)
    >>> journal.doubled()
    ('deposit-1',)
    """

    def __init__(self, path: str = '') -> None:
        self.file = RecordFile(path, CallRecord)
        self.calls = self.file.read()
        self._counts = Counter(call.business_id for call in self.calls)

    def add(self, call: CallRecord) -> int:
        """Record a call; return how often its business id has come."""
        self.file.append(call)
        self.calls.append(call)
        self._counts[call.business_id] += 1
        return self._counts[call.business_id]

    def doubled(self) -> tuple[str, ...]:
        """Return the business ids that came more than once."""
        return tuple(
            name
            for name, count in sorted(self._counts.items())
            if name and count > 1
        )
