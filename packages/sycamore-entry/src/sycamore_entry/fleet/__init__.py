"""Links of an entry to the endpoints, with their latest load reports."""

from .link import EndpointLink
from .links import EndpointLinks, LinkListener

__all__ = ('EndpointLink', 'EndpointLinks', 'LinkListener')
