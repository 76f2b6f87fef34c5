"""The product's own HTTP interface: callers, operators and dumps.

Border models are validated here and become data classes before any decision
is taken.  Another front end, such as the platform's, stands beside this one
and uses the same processes.
"""
