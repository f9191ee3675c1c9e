"""Relays that run in a thread of their own, beside the code of a test."""

import asyncio
import itertools
import threading
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from .gate import Gate
from .relay import Relay, RelayRoute


class RelayThread:
    """An event loop in a thread, with the relays of one fleet by name.

    Each method returns once what it asks for is done.
    """

    def __init__(self) -> None:
        self.relays: dict[str, Relay] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            daemon=True,
        )

    def start(self) -> None:
        """Run the thread; it has no relays yet."""
        self._thread.start()

    def add(self, name: str, route: RelayRoute) -> None:
        """Start a relay before the process `name`."""
        self._run(self._add(name, route))

    def cut(self, receiver: str, sender: str) -> None:
        """Hold what `sender` sends to `receiver`."""
        self._on_gate(receiver, sender, Gate.shut)

    def heal(self, receiver: str, sender: str) -> None:
        """Let what `sender` sends to `receiver` pass again."""
        self._on_gate(receiver, sender, Gate.heal)

    def partition(self, side: Iterable[str], other: Iterable[str]) -> None:
        """Cut both directions between two sets of processes."""
        for near, far in itertools.product(side, other):
            self.cut(near, far)
            self.cut(far, near)

    def delay(self, receiver: str, sender: str, seconds: float) -> None:
        """Let each read of what `sender` sends wait for `seconds`."""
        relay = self.relays[receiver]
        relay.gates[sender].delay_seconds = seconds

    def reset(self, receiver: str, sender: str = '') -> None:
        """Close the connections of `sender`, or of all, to `receiver`."""
        relay = self.relays[receiver]
        self._loop.call_soon_threadsafe(relay.reset, sender)

    def heal_all(self) -> None:
        """Open all gates."""
        self._run(self._heal_all())

    def close(self) -> None:
        """Close all relays and end the thread."""
        self._run(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _on_gate(
        self,
        receiver: str,
        sender: str,
        act: Callable[[Gate], None],
    ) -> None:
        relay = self.relays[receiver]
        self._run(self._act(relay, sender, act))

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result()

    async def _act(
        self,
        relay: Relay,
        sender: str,
        act: Callable[[Gate], None],
    ) -> None:
        act(relay.gates[sender])

    async def _add(self, name: str, route: RelayRoute) -> None:
        relay = Relay(route)
        await relay.start()
        self.relays[name] = relay

    async def _heal_all(self) -> None:
        for relay in self.relays.values():
            for gate in relay.gates.values():
                gate.heal()

    async def _close(self) -> None:
        closing = [relay.close() for relay in self.relays.values()]
        await asyncio.gather(*closing)
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
