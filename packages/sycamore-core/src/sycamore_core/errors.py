"""Base classes of the exceptions.

Each layer derives its exceptions from `SycamoreError` and translates those of
the layer below, so that callers depend only on the libraries that they use
themselves.
"""


class SycamoreError(Exception):
    """Base class of all exceptions that this project raises."""


class SettingsError(SycamoreError):
    """A settings file or a published settings tree is invalid."""


class TransportError(SycamoreError):
    """A message could not be sent to or received from a peer."""


class CodecError(TransportError):
    """Received bytes are not a valid packet of the protocol."""


class AuthenticationError(TransportError):
    """A packet or an identifier does not carry a valid signature."""


class PlatformError(SycamoreError):
    """The platform's services cannot be read."""


class BackendError(SycamoreError):
    """An engine or a plain service failed to process a request."""


class LedgerError(SycamoreError):
    """The rules of a ledger do not allow a change."""


class DecisionError(SycamoreError):
    """The inputs of a decision contradict each other."""
