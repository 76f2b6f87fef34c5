"""Measurements of the system, of parts of it and of its libraries."""
