"""An ordinary web server of somebody else, which knows no path."""

import asyncio

from http_io import answer_bytes, read_body, read_head


class WebServer:
    """Answers each request with 404, and notes it."""

    def __init__(self, note):
        self.note = note
        self.requests = 0
        self.address = ''
        self._server = None

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                await read_body(reader, request)
                self.requests += 1
                name = request.headers.get('request-id', 'no id')
                tenant = request.headers.get('tenant')
                self.note(
                    f'{name} came to the other writer\'s server,'
                    f' Tenant {tenant}, {len(request.body)} bytes'
                )
                headers = {'Content-Type': 'text/plain'}
                writer.write(answer_bytes(404, headers, b'not found\n'))
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
