"""Addresses on loopback that no other fleet uses."""

import os
import socket
from typing import Self

_OCTET = 256
_FIRST_PORT = 20_001
#: Second octet 0 is left to everybody else's 127.0.0.1.
_OCTETS_IN_USE = 255


class AddressPool:
    """Gives out ports of one address of the loopback network.

    The whole of 127.0.0.0/8 is local, so that two fleets that have an address
    each never meet, and a port keeps its number over a restart.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self._next = _FIRST_PORT

    @classmethod
    def for_fleet(cls, number: int) -> Self:
        """Return a pool for fleet `number` of this process."""
        high, third = divmod(os.getpid(), _OCTET)
        second = high % _OCTETS_IN_USE + 1
        fourth = number % _OCTET + 1
        return cls(f'127.{second}.{third}.{fourth}')

    def port(self) -> int:
        """Return a port that nobody listens on."""
        while True:
            port = self._next
            self._next += 1
            if _is_free(self.host, port):
                return port


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
