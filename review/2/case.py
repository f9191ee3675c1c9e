"""A tenant loses all its keys, one after the other (`revoke`, `last`).

Two entries, two replicas, one tenant with two keys. The operator takes away
one key and 0.5 s later the other one. Its last configuration still contains
`tenants`, and no key. After `configApplyMs` and a second, requests come with
each of the dropped keys, with a key that was never issued, and with none.
"""

import asyncio
import itertools
import json

from harness import has_trouble, main
from entries import BOUNDS, Channel, EntryHost, loopback_host
from replica import Replica
from store import Store

ZONE = 'zone-a'
SERVICE = 'bookdesk'
HOST = 'desk.example'
PATH = '/deposit/'
KEYS = ('key-one-4f1d5b2c9a', 'key-two-8e7a6c3d1b')
NEVER_ISSUED = 'key-never-issued-00'
#: The pause between two keys that are taken away (`gap_s` of the site).
GAP_SECONDS = 0.5
CONTACT_SECONDS = BOUNDS['contactMs'] / 1000
APPLY_SECONDS = BOUNDS['configApplyMs'] / 1000
MARGIN_SECONDS = 1.0
ROUNDS = 5
PAUSE_SECONDS = 0.2

_numbers = itertools.count(1)


def config(version, keys):
    return json.dumps(
        {
            'version': version,
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
            'services': [
                {'name': SERVICE, 'healthPath': '/health', 'maxConns': 100},
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
            'tenants': [{'name': 'hule930', 'apiKeys': list(keys)}],
        }
    ).encode()


class Requesters:
    """Sends requests to each entry, on kept channels and on new ones."""

    def __init__(self, entries, record):
        self.entries = entries
        self.record = record
        self.sent = {}
        self.kept = {
            (entry.name, key): Channel(entry)
            for entry in entries
            for key in (*KEYS, NEVER_ISSUED, None)
        }

    async def send_all(self, phase):
        for entry in self.entries:
            for key in (*KEYS, NEVER_ISSUED, None):
                await self._send(phase, entry, key, self.kept[entry.name, key])
                fresh = Channel(entry)
                await self._send(phase, entry, key, fresh)
                fresh.close()

    async def _send(self, phase, entry, key, channel):
        request_id = f'{phase}-{next(_numbers)}'
        self.sent[request_id] = phase, key
        headers = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Ms': '3000',
        }
        if key is not None:
            headers['Authorization'] = f'Bearer {key}'
        answer = await channel.send('POST', f'{PATH}7', headers, b'amount=40')
        status = 'no answer' if answer is None else answer.status
        self.record.note(
            f'{request_id} to {entry.name}, key {key}: answered {status}'
        )

    def close(self):
        for channel in self.kept.values():
            channel.close()


async def play(record, folder):
    store = Store()
    await store.start(loopback_host())
    replicas = [
        Replica(
            f'i-{number}',
            SERVICE,
            ZONE,
            on_run=lambda run: record.note(
                f'{run.request_id} runs at {run.replica},'
                f' Tenant {run.headers.get("tenant")}'
            ),
        )
        for number in (1, 2)
    ]
    for replica in replicas:
        await replica.start(loopback_host())
        store.put(
            f'servers/{replica.name}', json.dumps(replica.registration).encode()
        )
    store.put('op/config', config(7, KEYS))
    entries = [EntryHost(n, ZONE, folder, record.note) for n in (1, 2)]
    for entry in entries:
        entry.write_boot(
            [one.control for one in entries], store.address, [ZONE], {}
        )
        entry.start()
    requesters = Requesters(entries, record)
    try:
        for entry in entries:
            await entry.wait_ready()
        await asyncio.sleep(CONTACT_SECONDS + MARGIN_SECONDS)
        await requesters.send_all('before')
        keys_in_force = set(KEYS)
        if has_trouble():
            store.put('op/config', config(9, KEYS[1:]))
            record.note(f'version 9 is acknowledged: {KEYS[0]} is dropped')
            await asyncio.sleep(GAP_SECONDS)
            store.put('op/config', config(12, ()))
            record.note(f'version 12 is acknowledged: {KEYS[1]} is dropped')
            keys_in_force = set()
        await asyncio.sleep(APPLY_SECONDS + MARGIN_SECONDS)
        for _ in range(ROUNDS):
            await requesters.send_all('after')
            await asyncio.sleep(PAUSE_SECONDS)
        return judge(record, requesters.sent, replicas, keys_in_force)
    finally:
        requesters.close()
        for entry in entries:
            await entry.stop()


def judge(record, sent, replicas, keys_in_force):
    """Return whether a request ran that the configuration does not allow.

    Requests without a key, and runs without a tenant, are noted only.
    """
    allowed = {'before': set(KEYS), 'after': keys_in_force}
    runs = [run for replica in replicas for run in replica.runs]
    dropped = never_issued = keyless = without_tenant = 0
    for run in runs:
        phase, key = sent[run.request_id]
        dropped += key in KEYS and key not in allowed[phase]
        never_issued += key == NEVER_ISSUED
        keyless += key is None
        without_tenant += run.headers.get('tenant') != 'hule930'
    record.note(f'{len(sent)} requests were sent, {len(runs)} ran')
    record.note(f'CONFIG: {dropped} ran with a dropped key')
    record.note(
        f'ROUTE: {never_issued} ran with a key that no configuration held'
    )
    record.note(
        f'besides: {keyless} ran without a key,'
        f' {without_tenant} of all runs without the tenant'
    )
    return bool(dropped or never_issued)


if __name__ == '__main__':
    main(__file__, play)
