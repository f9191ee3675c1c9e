"""Tests of the readers of the platform's services."""
