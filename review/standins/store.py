"""A stand-in for the platform's metadata store.

It answers as PROTOCOL.md says: linearizable reads, one revision counter,
watches that answer as soon as there is an event. It refuses nothing, loses no
answer and keeps all history.
"""

import asyncio
import base64
import json

from http_io import answer_bytes, read_body, read_head

PAGE = 500


class Store:
    """Items by key, and all changes since the start."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 10
        self.calls = 0
        self._changed = asyncio.Event()
        self._server = None
        self.address = ''

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def put(self, key, content):
        """Write an item; the return is the ack."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._add_event(item)

    def remove(self, key):
        """Remove an item; the return is the ack."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._add_event(
            {'key': key, 'revision': self.revision, 'removed': True}
        )

    def _add_event(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                await read_body(reader, request)
                self.calls += 1
                status, document = await self._answer(request)
                body = json.dumps(document).encode()
                headers = {'Content-Type': 'application/json'}
                writer.write(answer_bytes(status, headers, body))
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
        query = request.query
        if request.path == '/api/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'asOf': self.revision}
        if request.path == '/api/kv-range':
            return 200, self._page(query)
        if request.path == '/api/kv-watch':
            return 200, await self._watch(query)
        return 404, {}

    def _page(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(prefix) and (not after or key > after)
        )
        return {
            'entries': [self.items[key] for key in keys[:PAGE]],
            'truncated': len(keys) > PAGE,
            'asOf': self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        loop = asyncio.get_running_loop()
        due = loop.time() + min(int(query['waitMs']), 30_000) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left = due - loop.time()
            if events or left <= 0:
                return {'events': events, 'asOf': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
