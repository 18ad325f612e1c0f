"""Implementations of the ports with real protocols."""
