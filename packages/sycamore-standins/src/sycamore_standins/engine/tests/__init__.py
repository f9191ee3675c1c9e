"""Tests of the engine model."""
