"""The endpoint process: the only client of one engine or plain service."""
