"""Tests of groups."""
