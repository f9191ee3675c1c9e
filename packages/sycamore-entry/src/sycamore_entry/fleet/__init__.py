"""The endpoints that an entry talks to, and what it last heard of them."""

from .links import EndpointLink, EndpointLinks, LinkEvents

__all__ = ('EndpointLink', 'EndpointLinks', 'LinkEvents')
