"""A stand-in for a model replica that answers with streams of events."""

import asyncio
import time

from http_io import answer_bytes, head_bytes, read_body, read_head


class StreamReplica:
    """Answers each request with `EVENTS` events, or those after an id.

    After each event it writes a comment, as servers of `text/event-stream` do
    to keep a connection open. A comment is no event and has no id.

    Attributes
    ----------
    crash_after
        Event after which it crashes, once; None if it does not.
    """

    EVENTS = 12
    EVENT_SECONDS = 0.05
    COMMENT = ': keep-alive\n\n'

    def __init__(self, name, service, zone, note):
        self.name = name
        self.service = service
        self.zone = zone
        self.note = note
        self.born = int(time.time() * 1000)
        self.crash_after = None
        self.crashed = asyncio.Event()
        self.address = ''
        self._server = None
        self._writers = set()

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    @property
    def registration(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': 0,
            'born': self.born,
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'sequence': 0,
        }

    def crash(self):
        """End as a process that is killed: its channels are reset."""
        self.note(f'{self.name} crashes')
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self.crashed.set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                await read_body(reader, request)
                await self._answer(request, writer)
        except (
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
        ):
            # The other side has left, this replica has crashed, or the case
            # is over.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        request_id = request.headers.get('request-id', '')
        if request.headers.get('expect-instance', self.name) != self.name:
            headers = {'Instance-Id': self.name, 'Request-Id': request_id}
            writer.write(answer_bytes(421, headers))
            return
        if request.path == '/health':
            writer.write(answer_bytes(200, {'Instance-Id': self.name}))
            return
        if not request_id:
            writer.write(answer_bytes(400, {'Not-Executed': '1'}))
            return
        after = int(request.headers.get('last-event-id') or 0)
        self.note(f'{request_id} runs at {self.name} after event {after}')
        headers = {
            'Request-Id': request_id,
            'Response-Stamp': f'{self.name}.{request_id}',
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        writer.write(head_bytes('HTTP/1.1 200 OK', headers))
        for number in range(after + 1, self.EVENTS + 1):
            await asyncio.sleep(self.EVENT_SECONDS)
            event = f'id: {number}\ndata: piece {number}\n\n'
            self._write_chunk(writer, event + self.COMMENT)
            await writer.drain()
            if number == self.crash_after:
                # What was written arrives before the reset.
                await asyncio.sleep(self.EVENT_SECONDS / 2)
                self.crash()
                return
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def _write_chunk(self, writer, text):
        payload = text.encode()
        writer.write(b'%x\r\n' % len(payload) + payload + b'\r\n')
