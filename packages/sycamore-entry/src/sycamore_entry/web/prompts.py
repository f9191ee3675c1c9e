"""Bodies of model requests: size and leading blocks of the prompt.

A prompt of a million tokens takes several megabytes. The module does not
decode the JSON form of the prompt into a list. It extracts that form unchanged
from the body, and counts the size in that form.
"""

import hashlib
import re

import msgspec
from sycamore_core.ids import BlockHash
from sycamore_core.states import RefusalReason

from ..errors import RefusedError

#: English text has about four bytes a token. A service with a different
#: tokenizer gets prompts as token ids.
BYTES_PER_TOKEN = 4
#: Size of one block, about 512 tokens, which is the block size of the engines.
BLOCK_BYTES = 2048
#: Maximum number of hashed blocks. Content beyond 131,072 tokens does not
#: change the placement of a prompt.
MAX_BLOCKS = 256
_HASH_BYTES = 7
_TOKEN_LIST = re.compile(rb'\[[\d,\s]*\]')


class PromptBody(msgspec.Struct, frozen=True):
    """The body of a model request.

    Attributes
    ----------
    prompt
        Text; a body has either `prompt` or `tokens`.
    tokens
        Token ids.
    blocks
        Hashes of the blocks of the prompt, if the caller knows them.
    max_output_tokens
        Maximum number of generated tokens; 0 for the limit of the service.
    """

    prompt: msgspec.Raw = msgspec.Raw()
    tokens: msgspec.Raw = msgspec.Raw()
    blocks: tuple[int, ...] = ()
    max_output_tokens: int = 0


class Prompt(msgspec.Struct, frozen=True):
    """A prompt ready to be offered."""

    payload: bytes
    tokens: int
    max_output_tokens: int
    blocks: tuple[BlockHash, ...]


_decoder = msgspec.json.Decoder(PromptBody)


def read_prompt(body: bytes) -> Prompt:
    """Parse the body of a model request.

    Raises
    ------
    RefusedError
        If the body does not have the form that the page on protocols
        describes.

    Examples
    --------
    >>> read_prompt(b'{"tokens": [1, 2, 3]}').tokens
    3
    """
    try:
        parsed = _decoder.decode(body)
    except Exception as error:
        # Decoders raise more than their own errors, such as `RecursionError`.
        raise _bad_request(str(error)) from error
    prompt = bytes(parsed.prompt)
    tokens = bytes(parsed.tokens)
    if bool(prompt) == bool(tokens):
        raise _bad_request('give either "prompt" or "tokens"')
    if parsed.max_output_tokens < 0:
        raise _bad_request('"max_output_tokens" is negative')
    payload = prompt or tokens
    return Prompt(
        payload=payload,
        tokens=_count_tokens(tokens) if tokens else _count_text(prompt),
        max_output_tokens=parsed.max_output_tokens,
        blocks=parsed.blocks[:MAX_BLOCKS] or hash_blocks(payload),
    )


def hash_blocks(payload: bytes) -> tuple[BlockHash, ...]:
    """Return a hash of each full block together with all earlier blocks."""
    view = memoryview(payload)
    whole = min(len(payload) // BLOCK_BYTES, MAX_BLOCKS)
    chain = hashlib.blake2b(digest_size=_HASH_BYTES)
    hashes: list[BlockHash] = []
    for number in range(whole):
        start = number * BLOCK_BYTES
        chain.update(view[start : start + BLOCK_BYTES])
        hashes.append(BlockHash(int.from_bytes(chain.copy().digest())))
    return tuple(hashes)


def _count_tokens(tokens: bytes) -> int:
    if _TOKEN_LIST.fullmatch(tokens) is None:
        raise _bad_request('"tokens" is not a list of token ids')
    count = tokens.count(b',') + 1
    if count == 1 and not tokens.strip(b'[] \t\r\n'):
        raise _bad_request('"tokens" is empty')
    return count


def _count_text(prompt: bytes) -> int:
    if not prompt.startswith(b'"'):
        raise _bad_request('"prompt" is not text')
    return len(prompt) // BYTES_PER_TOKEN + 1


def _bad_request(detail: str) -> RefusedError:
    return RefusedError(RefusalReason.BAD_REQUEST, detail)
