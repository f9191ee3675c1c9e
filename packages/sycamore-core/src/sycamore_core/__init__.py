"""Shared types, messages, settings, telemetry and decisions."""
