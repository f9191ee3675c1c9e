"""Reading and writing of HTTP/1.1 on asyncio streams, for stand-ins."""

import asyncio
from urllib.parse import parse_qs, urlsplit

MAX_HEAD = 65_536


class Message:
    """The head and the body of a request or an answer.

    Attributes
    ----------
    first
        The three words of the first line.
    headers
        Headers with names in lower case; the last of several counts.
    """

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first[0]

    @property
    def target(self):
        return self.first[1]

    @property
    def path(self):
        return urlsplit(self.target).path

    @property
    def query(self):
        pairs = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[0] for name, values in pairs.items()}

    @property
    def status(self):
        return int(self.first[1])


async def read_head(reader):
    """Return a message without its body; None if the channel has ended."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return Message(lines[0].split(' ', 2), headers)


async def read_body(reader, message, until_close=False):
    """Read the body of a message; raise `IncompleteReadError` if cut."""
    headers = message.headers
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        pieces = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            pieces.append(piece[:-2])
        message.body = b''.join(pieces)
    elif 'content-length' in headers:
        size = int(headers['content-length'])
        message.body = await reader.readexactly(size)
    elif until_close:
        message.body = await reader.read()
    return message


def head_bytes(first_line, headers):
    """Return the bytes of a head."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def answer_bytes(status, headers, body=b''):
    """Return the bytes of an answer with a length."""
    fields = {**headers, 'Content-Length': str(len(body))}
    return head_bytes(f'HTTP/1.1 {status} Answer', fields) + body
