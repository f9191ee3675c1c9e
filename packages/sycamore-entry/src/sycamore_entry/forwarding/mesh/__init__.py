"""What entries tell one another."""
