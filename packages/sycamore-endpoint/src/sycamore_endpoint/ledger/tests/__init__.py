"""Tests of the ledgers."""
