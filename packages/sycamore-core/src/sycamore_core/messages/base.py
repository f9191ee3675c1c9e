"""Base of all messages.

Fields are encoded by position. A newer process may append fields: an older
one ignores what it does not know and fills what it misses with the defaults,
so that both can run together during a roll-out. Fields are never removed or
moved.
"""

import msgspec


class BaseMessage(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One typed message; the first element on the wire is its class name."""
