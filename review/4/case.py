"""A replica leaves just after an entry has its store back."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins_2'))

from links import Link
from platform_standins import (
    PLAIN, Entry, Replica, Store, configuration, read_answer, request_bytes,
    route, run_case)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
#: Lengths of the cuts; the longest is that of the site file.
CUT_SECONDS = (5.5, 4.9, 5.2, 4.6, 5.35, 4.75, 5.05, 4.45)
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
#: Time from the end of a cut to the next one.
CALM_SECONDS = 6.2
PAUSE_SECONDS = 0.02
REPLICAS = 3


class LeavingReplica(Replica):
    """Notes when requests reach it, and whether it has left by then."""

    left_at = None
    in_touch_from = float('inf')

    def note_run(self, request):
        super().note_run(request)
        now = time.monotonic()
        if self.left_at is None:
            return
        late = now - self.left_at
        counts = late > DRAIN_SECONDS and now > self.in_touch_from
        self.record.note(f'  {late:.3f} s after it left'
                         f'{", TOO LATE" if counts else ""}')
        if counts:
            self.broken.append(late)


async def send_requests(entry, record, until):
    number = 0
    reader = writer = None
    while time.monotonic() < until:
        number += 1
        request_id = f'{number:016x}'
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(
                    entry.host, entry.front)
            writer.write(request_bytes('GET', '/cufi504/2f', request_id, 1500))
            answer = await asyncio.wait_for(read_answer(reader), 3)
            record.note(f'answer to {request_id}: {answer.status}')
        except (OSError, EOFError, TimeoutError) as error:
            record.note(f'no answer to {request_id}: {error!r}')
            writer = None
        await asyncio.sleep(PAUSE_SECONDS)


async def case(record, scratch):
    LeavingReplica.broken = broken = []
    store = Store()
    await store.start()
    store.put('op/config', configuration(
        7, [route('r-1', '/cufi504/', 'safe')]))

    async def add_replica():
        replica = LeavingReplica(record, PLAIN)
        await replica.start()
        store.put(f'servers/{replica.name}', replica.registration())
        return replica

    replicas = [await add_replica() for _ in range(REPLICAS)]
    link = Link('127.0.0.1', store.host, store.port)
    await link.start()
    # The first entry reads the store through the link, the second directly.
    entries = [Entry(scratch, 1, link.address, []),
               Entry(scratch, 2, store.address, [])]
    for entry in entries:
        entry.seeds = [one.seed for one in entries]
        entry.write_boot()
        await entry.start()
    try:
        for entry in entries:
            await entry.wait_ready()
        await asyncio.sleep(CONTACT_SECONDS + 1)
        until = time.monotonic() + sum(CUT_SECONDS) + len(
            CUT_SECONDS) * CALM_SECONDS
        senders = [asyncio.create_task(send_requests(entry, record, until))
                   for entry in entries for _ in range(2)]
        for cut_seconds in CUT_SECONDS:
            if TROUBLE:
                record.note('the first entry is cut off from the store')
                link.cut()
            await asyncio.sleep(cut_seconds)
            link.heal()
            healed_at = time.monotonic()
            record.note('it reaches the store again')
            await asyncio.sleep(0.1)
            leaving = replicas.pop(0)
            record.note(f'{leaving.name} leaves: its entry is removed')
            store.remove(f'servers/{leaving.name}')
            leaving.left_at = time.monotonic()
            # It goes on serving, as the pages say.
            leaving.in_touch_from = healed_at + CONTACT_SECONDS
            replicas.append(await add_replica())
            await asyncio.sleep(
                healed_at + CALM_SECONDS - time.monotonic())
            leaving.server.close()
        await asyncio.gather(*senders)
    finally:
        for entry in entries:
            await entry.stop()
    record.note(f'{len(broken)} requests reached a replica over'
                f' {DRAIN_SECONDS} s after it had left')
    return 1 if broken else 0


if __name__ == '__main__':
    run_case(case, FOLDER)
