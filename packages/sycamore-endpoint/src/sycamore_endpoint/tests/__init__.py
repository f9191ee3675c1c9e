"""Tests of a whole endpoint process."""
