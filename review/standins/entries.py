"""The project's own program, started as the deploy file says.

The command and its variables are read from `deploy/system.toml`. As on the
platform, a process that ends is started again after a short delay.
"""

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import tomllib

from http_io import head_bytes, read_body, read_head

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / 'target' / 'deps'
RESTART_SECONDS = 0.5
#: `bounds` as the sheet of kcbca-counts-grown gives them.
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'contactMs': 4000,
    'ackMs': 6000,
    'catchUpS': 6,
    'drainMs': 3000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 3000,
    'downgradeMs': 250,
    'maxStretchMs': 6000,
    'strictRevoke': False,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retrySlack': 212,
    'recoveryS': 15,
    'passMs': 200,
    'retryAfterS': 0,
}


class CannotRun(Exception):
    """The case cannot run on this machine."""


def loopback_host():
    """Return a loopback address of its own, so that no port is taken."""
    return f'127.{random.randint(20, 250)}.{random.randint(1, 250)}.1'


def free_ports(host, count):
    """Return free ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class EntryHost:
    """One machine on which an entry runs, started again when it ends.

    Attributes
    ----------
    ends
        Time and exit code of each process that ended by itself.
    """

    def __init__(self, number, zone, folder, note):
        self.name = f'front-{zone}-{number}'
        self.zone = zone
        self.host = loopback_host()
        self.ports = free_ports(self.host, 3)
        self.boot = folder / f'boot-{number}.yaml'
        self.log = folder / f'entry-{number}.log'
        self.note = note
        self.ends = []
        self.process = None
        self.is_wanted = True
        self._task = None

    @property
    def front(self):
        return self.host, self.ports[0]

    @property
    def control(self):
        return f'{self.host}:{self.ports[2]}'

    def write_boot(self, seeds, store, zones, bounds):
        front, ready, control = (
            f'{self.host}:{port}' for port in self.ports
        )
        settings = {
            'nodeName': self.name,
            'role': 'entry',
            'machineClass': 'front',
            'serves': ['front', 'control'],
            'ip': self.host,
            'zone': self.zone,
            'region': 'home',
            'zones': {zone: 'home' for zone in zones},
            'listen': {
                'front': front,
                'readyAddr': ready,
                'control': control,
            },
            'internalPorts': [7340, 7355],
            'seeds': seeds,
            'bootstrap': True,
            'limits': {'cpuShare': 0.8, 'cores': 1, 'memoryMb': 300},
            'dataDir': None,
            'heartbeatMs': 1200,
            'bounds': {**BOUNDS, **bounds},
            'platform': {
                'address': store,
                'form': 'read',
                'readsPerS': 6000,
                'historyS': 20,
                'valueBytes': 1048576,
            },
        }
        self.boot.write_text(json.dumps(settings, indent=1))

    def start(self):
        self._task = asyncio.create_task(self._keep())

    async def _keep(self):
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        entry = role['roles']['entry']
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment.update(entry.get('env', {}))
        environment['PYTHONPATH'] = str(DEPS)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['SYCAMORESTACK_BOOT'] = str(self.boot)
        while self.is_wanted:
            with self.log.open('ab') as output:
                self.process = await asyncio.create_subprocess_exec(
                    *shlex.split(entry['run']),
                    cwd=ROOT,
                    env=environment,
                    stdout=output,
                    stderr=output,
                )
            self.note(f'{self.name}: process started')
            code = await self.process.wait()
            if not self.is_wanted:
                return
            now = asyncio.get_running_loop().time()
            self.ends.append((now, code))
            self.note(f'{self.name}: process ended by itself, code {code}')
            await asyncio.sleep(RESTART_SECONDS)

    async def is_ready(self):
        """Ask as the platform does, once."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ports[1]
                )
                try:
                    ask = {'Host': self.host, 'Connection': 'close'}
                    writer.write(head_bytes('GET /api/ready HTTP/1.1', ask))
                    answer = await read_head(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self, seconds=20):
        try:
            async with asyncio.timeout(seconds):
                while not await self.is_ready():
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            raise CannotRun(f'{self.name} is not ready') from error

    async def stop(self):
        """End the process, whatever it does."""
        self.is_wanted = False
        process = self.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()
        if self._task is not None:
            self._task.cancel()


class Channel:
    """A requester's kept channel to one entry."""

    def __init__(self, entry):
        self.entry = entry
        self.reader = None
        self.writer = None

    async def send(self, method, path, headers, body=b'', seconds=5):
        """Return the answer; None if there is none."""
        try:
            async with asyncio.timeout(seconds):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        *self.entry.front
                    )
                fields = dict(headers)
                if body:
                    fields['Content-Length'] = str(len(body))
                line = f'{method} {path} HTTP/1.1'
                self.writer.write(head_bytes(line, fields) + body)
                answer = await read_head(self.reader)
                if answer is None:
                    self.close()
                    return None
                await read_body(self.reader, answer, until_close=True)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None
        if 'close' in answer.headers.get('connection', '').lower():
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
