"""Tests of the rule for callers' keys."""
