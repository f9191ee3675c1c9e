"""Settings trees on their way between peers.

A whole tree goes to each process with each change; compressed, it is about a
quarter of its size.
"""

import zlib

from ..errors import CodecError, PlatformError
from ..ids import SettingsVersion
from ..messages import SettingsBody, inflate
from .accepted import MAX_SETTINGS_BYTES
from .sources import PublishedSettings

#: What a process answers that has no settings yet.
NO_SETTINGS = SettingsBody(version=0, body=b'')


def pack(published: PublishedSettings) -> SettingsBody:
    """Return the message that carries a tree."""
    return SettingsBody(
        version=published.version,
        body=zlib.compress(published.body),
        compressed=True,
    )


def unpack(message: SettingsBody) -> PublishedSettings:
    """Return the tree that a message carries.

    Raises
    ------
    PlatformError
        If it cannot be decompressed, or is larger than any tree.

    Examples
    --------
    >>> unpack(pack(PublishedSettings(SettingsVersion(3), b'{}'))).body
    b'{}'
    """
    version = SettingsVersion(message.version)
    if not message.compressed:
        return PublishedSettings(version, message.body)
    try:
        body = inflate(message.body, MAX_SETTINGS_BYTES)
    except CodecError as error:
        raise PlatformError(f'settings of a peer: {error}') from error
    return PublishedSettings(version, body)
