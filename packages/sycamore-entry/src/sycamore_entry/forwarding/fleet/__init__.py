"""Configuration and endpoints, as the platform has them."""
