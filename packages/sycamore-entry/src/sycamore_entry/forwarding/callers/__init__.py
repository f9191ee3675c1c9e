"""Callers: their connections, what is admitted, and the life of a request."""
