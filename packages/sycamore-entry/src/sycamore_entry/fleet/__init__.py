"""Links of an entry to the endpoints, with their latest load reports."""

from .link import EndpointLink
from .links import EndpointLinks, LinkEvents

__all__ = ('EndpointLink', 'EndpointLinks', 'LinkEvents')
