"""Tests of the endpoint process as a whole."""
