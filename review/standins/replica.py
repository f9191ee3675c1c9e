"""A stand-in for a replica of a plain service, as the pages describe it."""

import asyncio
import time

from http_io import answer_bytes, read_body, read_head


class Run:
    """One request that a replica began to work on."""

    def __init__(self, at, replica, message):
        self.at = at
        self.replica = replica
        self.request_id = message.headers.get('request-id', '')
        self.headers = message.headers
        self.method = message.method
        self.target = message.target
        self.body = message.body


class Replica:
    """Runs each request that is meant for it, and notes it.

    Parameters
    ----------
    name
        The id of this lifetime.
    work
        Seconds that a request takes.
    on_run
        Called with each run as it begins.
    """

    def __init__(self, name, service, zone, work=0.02, on_run=None):
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.on_run = on_run or (lambda run: None)
        self.runs = []
        self.born = int(time.time() * 1000)
        self._server = None
        self.address = ''

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    @property
    def registration(self):
        """Return what the replica writes into the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': 0,
            'born': self.born,
            'sequence': 0,
        }

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                await read_body(reader, request)
                writer.write(await self._answer(request))
                await writer.drain()
        except (
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
        ):
            # Cancelled at the end of the case only.
            return
        finally:
            writer.close()

    async def _answer(self, request):
        request_id = request.headers.get('request-id', '')
        echo = {'Request-Id': request_id} if request_id else {}
        expected = request.headers.get('expect-instance', self.name)
        if expected != self.name:
            return answer_bytes(421, {**echo, 'Instance-Id': self.name})
        if request.path == '/health':
            return answer_bytes(200, {'Instance-Id': self.name})
        if not request_id:
            return answer_bytes(400, {'Not-Executed': '1'})
        now = asyncio.get_running_loop().time()
        run = Run(now, self.name, request)
        self.runs.append(run)
        self.on_run(run)
        await asyncio.sleep(self.work)
        headers = {**echo, 'Response-Stamp': f'{self.name}.{len(self.runs)}'}
        body = f'{request_id} by {self.name}'.encode()
        return answer_bytes(200, headers, body)
