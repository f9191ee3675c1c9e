"""Another writer stores an item under `servers/` that cannot be read.

Three entries, two replicas, and a requester that goes on sending. The item is
a JSON object of 4 KB whose field `notes` holds lists within lists. It names no
replica to use, and the others hold.
"""

import asyncio
import itertools
import json

from entries import BOUNDS, Channel, EntryHost, loopback_host
from harness import has_trouble, main
from replica import Replica
from store import Store

ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'bookdesk'
HOST = 'desk.example'
PATH = '/deposit/'
KEY = 'key-one-4f1d5b2c9a'
NESTED = 2000
FOREIGN_KEY = 'servers/notes-of-another-writer'
FOREIGN = b'{"notes":' + b'[' * NESTED + b']' * NESTED + b'}'
CONTACT_SECONDS = BOUNDS['contactMs'] / 1000
#: How long the item lies in the store, and how long requests are sent after it
#: was removed again.
STORED_SECONDS = 30
AFTER_SECONDS = 10
PAUSE_SECONDS = 0.05
#: Faults of `RULES.md`: so many ends, on two machines at least.
ENDS = 3
MACHINES = 2

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-deposit',
            'host': HOST,
            'prefix': PATH,
            'kind': 'unsafe',
            'timeoutMs': 1500,
            'targetLatencyMs': 300,
            'priority': 2,
            'service': SERVICE,
            'maxAttempts': 1,
            'public': False,
        },
    ],
    'services': [{'name': SERVICE, 'healthPath': '/health', 'maxConns': 100}],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [{'name': 'hule930', 'apiKeys': [KEY]}],
}


class Requester:
    """Sends one request after the other, to each entry in turn.

    An entry that cannot be connected to, or says that it has not run the
    request, is left for the next one, once.
    """

    def __init__(self, entries, record):
        self.record = record
        self.served = []
        self.unserved = []
        self._channels = [Channel(entry) for entry in entries]
        self._turns = itertools.count()

    async def run(self):
        while True:
            await self._send(next(self._turns))
            await asyncio.sleep(PAUSE_SECONDS)

    async def _send(self, turn):
        now = asyncio.get_running_loop().time()
        seen = []
        for attempt in range(2):
            place = (turn + attempt) % len(self._channels)
            channel = self._channels[place]
            headers = {
                'Host': HOST,
                'Request-Id': f'q{turn}-{attempt}',
                'Deadline-Ms': '3000',
                'Authorization': f'Bearer {KEY}',
            }
            answer = await channel.send('POST', f'{PATH}7', headers, b'40')
            seen.append('closed' if answer is None else str(answer.status))
            if answer is not None and answer.status == 200:
                self.served.append(now)
                break
            if answer is not None and answer.status != 503:
                self.unserved.append(now)
                break
        else:
            self.unserved.append(now)
        self.record.note(f'q{turn}: {", ".join(seen)}')

    def close(self):
        for channel in self._channels:
            channel.close()


async def play(record, folder):
    store = Store()
    await store.start(loopback_host())
    replicas = [Replica(f'i-{n}', SERVICE, ZONES[n]) for n in (0, 1)]
    for replica in replicas:
        await replica.start(loopback_host())
        store.put(
            f'servers/{replica.name}', json.dumps(replica.registration).encode()
        )
    store.put('op/config', json.dumps(CONFIG).encode())
    entries = [
        EntryHost(n, zone, folder, record.note) for n, zone in enumerate(ZONES)
    ]
    for entry in entries:
        entry.write_boot(
            [one.control for one in entries], store.address, ZONES, {}
        )
        entry.start()
    requester = Requester(entries, record)
    sending = None
    try:
        for entry in entries:
            await entry.wait_ready()
        sending = asyncio.create_task(requester.run())
        await asyncio.sleep(CONTACT_SECONDS + 1)
        loop = asyncio.get_running_loop()
        stored_at = loop.time()
        if has_trouble():
            store.put(FOREIGN_KEY, FOREIGN)
            record.note(f'another writer stores {len(FOREIGN)} bytes')
        await asyncio.sleep(STORED_SECONDS)
        removed_at = loop.time()
        store.remove(FOREIGN_KEY)
        record.note('the item is removed, if it was stored')
        await asyncio.sleep(AFTER_SECONDS)
        sending.cancel()
        return judge(record, entries, requester, stored_at, removed_at)
    finally:
        if sending is not None:
            sending.cancel()
        requester.close()
        for entry in entries:
            await entry.stop()


def judge(record, entries, requester, stored_at, removed_at):
    """Return whether processes ended by themselves as a fault counts it."""
    spans = (
        ('before', 0, stored_at),
        ('while the item lay there', stored_at, removed_at),
        ('afterwards', removed_at, float('inf')),
    )
    for name, begin, end in spans:
        served, unserved = (
            sum(begin <= at < end for at in times)
            for times in (requester.served, requester.unserved)
        )
        record.note(f'{name}: {served} served, {unserved} not served')
    for entry in entries:
        codes = [code for _, code in entry.ends]
        record.note(f'{entry.name}: ended by itself {len(codes)} times, {codes}')
    often = sum(len(entry.ends) >= ENDS for entry in entries)
    record.note(f'{often} of {len(entries)} ended {ENDS} times or more')
    return often >= MACHINES


if __name__ == '__main__':
    main(__file__, play)
