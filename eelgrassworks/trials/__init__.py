"""Experiments: the decision classes under a virtual clock, and their ideal.

``virtual`` runs whole systems of decision classes; ``workload``,
``experiment`` and ``comparison`` plan, play and present loads; ``ideal`` is
what they are compared with.  No daemon imports this package.
"""
