"""Tests of the whole system as separate processes."""
