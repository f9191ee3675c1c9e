"""Base class of all messages.

Fields are encoded by position. A newer version may append fields: an older
process ignores unknown fields, and missing fields take their default values,
so that both versions can run together during a roll-out. Fields are never
removed or reordered.
"""

import msgspec


class BaseMessage(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A typed message; its first element on the wire is the class name."""
