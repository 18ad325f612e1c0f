"""Randomized soak test: daemons run as processes and faults are injected."""
