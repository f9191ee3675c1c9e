"""Tests of the virtual-time driver and its workloads."""
