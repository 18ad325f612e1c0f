"""Decides in which order requests wait for room at the instances."""
