"""Tests of orders."""
