"""The endpoints that an entry talks to, and what it last heard of them."""

from .link import EndpointLink
from .links import EndpointLinks, LinkEvents

__all__ = ('EndpointLink', 'EndpointLinks', 'LinkEvents')
