"""Tests of the clients of back ends."""
