"""Attempts at endpoints: connections, answers, timeouts and reservations."""
