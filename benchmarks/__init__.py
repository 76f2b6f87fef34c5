"""Measurements of processes on loopback; each prints one JSON line."""
