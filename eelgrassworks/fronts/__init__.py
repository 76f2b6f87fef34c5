"""The product's own HTTP interface: callers, operators and state dumps.

Request bodies are validated against models and converted to data classes
before any decision is made.  Other front ends, such as the one of the
platform, run in the same processes beside this one.
"""
