"""Specifications of the core protocols, for an explicit-state checker.

Each module specifies one protocol; ``make(without)`` builds it.  FENCES names
the safeguards of the protocol.  The checker must find no counterexample in
the complete protocol, and one in the protocol without any single fence.
"""
