"""Attempts at endpoints: connections, answers, silence and set-aside memory."""
