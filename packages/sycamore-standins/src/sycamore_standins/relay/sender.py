"""Who sends on a connection, read from its first packet.

A connection of pynng opens with eight bytes of handshake; each packet follows
its length in eight bytes. The packet itself starts with a signature and the
id of the key, then a MessagePack list whose second element is the name of the
sender.
"""

import msgspec
from sycamore_core.messages import Packet

_HANDSHAKE_BYTES = 8
_LENGTH_BYTES = 8
_SIGNATURE_BYTES = 16


class SenderFinder:
    """Collects the first bytes of a connection until the sender is known.

    Attributes
    ----------
    sender
        Name of the sending process; empty until it is known, ``?`` if the
        first packet could not be read.
    held
        Bytes of the first packets that were not handed on yet.
    """

    def __init__(self) -> None:
        self.sender = ''
        self.held = b''
        self._handshake = b''
        self._missing = _HANDSHAKE_BYTES

    def feed(self, received: bytes) -> None:
        """Take more bytes."""
        self._handshake = received[: self._missing]
        self.held += received[self._missing :]
        self._missing -= len(self._handshake)
        if len(self.held) < _LENGTH_BYTES:
            return
        end = _LENGTH_BYTES + int.from_bytes(self.held[:_LENGTH_BYTES], 'big')
        if len(self.held) >= end:
            self.sender = _sender_of(self.held[_LENGTH_BYTES:end])

    def take_handshake(self) -> bytes:
        """Return what of the handshake has come and was not taken yet."""
        taken = self._handshake
        self._handshake = b''
        return taken


def _sender_of(packet: bytes) -> str:
    try:
        body = packet[_SIGNATURE_BYTES + 1 + packet[_SIGNATURE_BYTES] :]
        return msgspec.msgpack.decode(body, type=Packet).sender
    except (IndexError, msgspec.DecodeError):
        return '?'
