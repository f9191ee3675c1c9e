"""The root of the exception tree.

Each layer derives its own branch from `SycamoreError` and turns the errors of
the layer below into its own, so that no caller has to know a library that it
does not use itself.
"""


class SycamoreError(Exception):
    """Root of all errors that this project raises on purpose."""


class SettingsError(SycamoreError):
    """A settings file or a published settings tree cannot be used."""


class TransportError(SycamoreError):
    """A message could not be sent to or received from a peer."""


class CodecError(TransportError):
    """Received bytes are not a packet of the protocol."""


class AuthenticationError(TransportError):
    """A packet or an identifier does not carry a valid signature."""


class PlatformError(SycamoreError):
    """The platform's services cannot be read."""


class BackendError(SycamoreError):
    """An engine or a plain service failed to do what it was asked."""


class LedgerError(SycamoreError):
    """A change that the rules of a ledger do not allow."""


class DecisionError(SycamoreError):
    """A decision was asked for with inputs that contradict each other."""
