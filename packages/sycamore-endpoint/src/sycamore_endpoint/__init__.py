"""The endpoint process: sole gate to one engine or plain service."""
