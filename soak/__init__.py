"""Fault soak: real processes, faults from outside, promises checked.

Runs the daemons of a small deployment on loopback, with proxies between them,
sends jobs and changes, injects overlapping faults that a seed determines, and
checks what callers and targets see while it runs.  ``python -m soak --help``.
"""
