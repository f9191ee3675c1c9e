"""Which endpoints a request is sent to, with what the entry knows."""
