"""The replicated log, the state that it drives, and their storage.

Decisions are in ``replica`` (terms, votes, appends), ``membership`` and
``ledger`` (the state machine); ``durability`` and ``journal`` keep what must
survive on one data folder.  Nothing here knows what entries and agents do.
"""
