"""Peers from which a starting process requests settings."""

import abc
from collections.abc import Iterable, Set

from ..messages import SettingsWanted
from ..transport import Node


class SettingsPeers(abc.ABC):
    """Other processes that may hold newer settings than the platform."""

    @abc.abstractmethod
    def request(self, addresses: Iterable[str], wanted: SettingsWanted) -> None:
        """Send `wanted` to these peers; an answer is not guaranteed."""

    @property
    @abc.abstractmethod
    def addresses(self) -> Set[str]:
        """Return the peer addresses known when this process starts."""


class SeedPeers(SettingsPeers):
    """The peers named in the settings of the process.

    Parameters
    ----------
    node
        Sends the messages.
    addresses
        Addresses as the peers advertise them, ``tcp://IP:PORT``.
    """

    def __init__(self, node: Node, addresses: Iterable[str]) -> None:
        self.node = node
        own = node.address.advertise
        self._addresses = frozenset(addresses) - {own}

    def request(self, addresses: Iterable[str], wanted: SettingsWanted) -> None:
        """Send `wanted` to these peers."""
        for address in addresses:
            self.node.peer(address).post(wanted)

    @property
    def addresses(self) -> Set[str]:
        """Return the addresses that the settings name."""
        return self._addresses


class NoPeers(SettingsPeers):
    """An empty set of peers, for a process without seed peers."""

    def request(self, addresses: Iterable[str], wanted: SettingsWanted) -> None:
        """Do nothing."""

    @property
    def addresses(self) -> Set[str]:
        """Return no address."""
        return frozenset()
