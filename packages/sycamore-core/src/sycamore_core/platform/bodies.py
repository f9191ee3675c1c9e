"""Encoding of settings trees for messages between peers.

Each change sends a full tree to each process. Compression reduces a tree to
about a quarter of its size.
"""

import zlib

from ..errors import CodecError, PlatformError
from ..ids import SettingsVersion
from ..messages import SettingsBody, inflate
from .accepted import MAX_SETTINGS_BYTES
from .sources import PublishedSettings

#: Answer of a process that has no settings yet.
NO_SETTINGS = SettingsBody(version=0, body=b'')


def pack_settings(published: PublishedSettings) -> SettingsBody:
    """Return the message that carries a tree."""
    return SettingsBody(
        version=published.version,
        body=zlib.compress(published.body),
        compressed=True,
    )


def unpack_settings(message: SettingsBody) -> PublishedSettings:
    """Return the tree that a message carries.

    Raises
    ------
    PlatformError
        If the body cannot be decompressed or exceeds the size limit.

    Examples
    --------
    >>> tree = PublishedSettings(SettingsVersion(3), b'{}')
    >>> unpack_settings(pack_settings(tree)).body
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
