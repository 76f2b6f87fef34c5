"""Experiments that run the decision classes under a virtual clock.

``virtual`` simulates a whole system of decision classes.  ``workload``
generates loads, ``experiment`` runs them and ``comparison`` presents the
results.  ``ideal`` computes the response times that the results are compared
with.  ``objectives`` runs transient jobs that have response objectives.  No
daemon imports this package.
"""
