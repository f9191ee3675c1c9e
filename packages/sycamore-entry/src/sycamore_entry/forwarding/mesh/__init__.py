"""Gossip between entries: loads, failures and membership."""
