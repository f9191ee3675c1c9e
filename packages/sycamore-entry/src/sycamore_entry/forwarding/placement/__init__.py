"""Choice of the endpoints for requests, from the entry's information."""
