"""Tests of logs, metrics and attainment."""
