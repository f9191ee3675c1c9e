"""Callers: connections, admission, and the exchange of each request."""
