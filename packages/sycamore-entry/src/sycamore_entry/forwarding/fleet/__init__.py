"""Configuration and endpoints, as published by the platform."""
