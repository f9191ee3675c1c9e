"""The peers that a starting process asks for settings."""

import abc
from collections.abc import Iterable, Set

from ..messages import SettingsWanted
from ..transport import Node


class SettingsPeers(abc.ABC):
    """Other processes that may hold newer settings than the platform."""

    @abc.abstractmethod
    def ask(self, addresses: Iterable[str], wanted: SettingsWanted) -> None:
        """Send `wanted` to some of the peers; an answer may come or not."""

    @property
    @abc.abstractmethod
    def addresses(self) -> Set[str]:
        """Return the addresses known at the start of this process."""


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

    def ask(self, addresses: Iterable[str], wanted: SettingsWanted) -> None:
        """Send `wanted` to some of the peers."""
        for address in addresses:
            self.node.peer(address).post(wanted)

    @property
    def addresses(self) -> Set[str]:
        """Return the addresses that the settings name."""
        return self._addresses


class NoPeers(SettingsPeers):
    """For a process that knows no peer at its start."""

    def ask(self, addresses: Iterable[str], wanted: SettingsWanted) -> None:
        """Do nothing."""

    @property
    def addresses(self) -> Set[str]:
        """Return no address."""
        return frozenset()
