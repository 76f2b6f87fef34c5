"""The replicated log, the state that it drives, and their storage.

Decisions are in ``replica`` (terms, votes, appends), ``membership``,
``folderverification`` and ``ledger`` (the state machine).  ``durability``
tracks which writes are durable, and ``journal`` stores them in a data folder.
``pendingrequests`` has what waits for a commit, and how it is answered.
The package does not depend on what entries and agents do.
"""
