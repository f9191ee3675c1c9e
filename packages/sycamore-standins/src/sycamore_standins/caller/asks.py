"""What a caller asks for."""

import msgspec


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """A model request.

    Attributes
    ----------
    prompt
        Text of the prompt; not sent where `tokens` is set.
    tokens
        Number of token ids to send in place of text.
    time_limit
        In seconds.
    idempotency_key
        Empty if the caller has none.
    entry
        Number of the entry to go through, in the order of the settings.
    """

    service: str
    prompt: str = 'hello'
    tokens: int = 0
    max_output_tokens: int = 8
    time_limit: float = 30
    idempotent: bool = True
    idempotency_key: str = ''
    entry: int = 0


class PlainAsk(msgspec.Struct, frozen=True, kw_only=True):
    """A call to a plain service; see `Ask` for what is not named here."""

    service: str
    method: str = 'POST'
    path: str = 'deposits'
    business_id: str
    time_limit: float = 30
    idempotent: bool = False
    idempotency_key: str = ''
    entry: int = 0
