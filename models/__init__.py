"""Specifications of the core protocols, for an explicit-state checker.

Each module specifies one protocol with ``make(without)``: the protocol
without one of its FENCES must have a counterexample, the whole one none.
"""
