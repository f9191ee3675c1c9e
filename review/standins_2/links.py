"""A link on loopback that can be cut without a reset."""

import asyncio


class Link:
    """Forwards connections to an address; drops all bytes while it is cut.

    A connection that was open at the cut, or opened during it, stays silent.
    One that is opened afterwards works.
    """

    def __init__(self, host, target_host, target_port):
        self.host = host
        self.target = target_host, target_port
        self.port = 0
        self.is_cut = False
        self.cuts = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    def cut(self):
        self.is_cut = True
        self.cuts += 1

    def heal(self):
        self.is_cut = False

    async def serve(self, reader, writer):
        began, opened_cut = self.cuts, self.is_cut

        def is_silent():
            return opened_cut or self.cuts != began

        try:
            ahead, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self.pump(reader, back, is_silent),
            self.pump(ahead, writer, is_silent),
            return_exceptions=True)
        back.close()
        writer.close()

    async def pump(self, source, target, is_silent):
        while piece := await source.read(65536):
            if not is_silent():
                target.write(piece)
                await target.drain()
        if not is_silent():
            target.write_eof()
