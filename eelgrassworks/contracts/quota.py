"""Team quotas.

A quota bounds how much of the system one team may use and fixes its share
when teams compete.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Limits of one team.

    ``share`` is the weight of the team against others; ``max_queued`` bounds
    the tasks that wait in one entry process, and ``max_running`` those that
    run through one entry process, 0 for no bound.
    """

    team: str
    share: float
    max_queued: int
    max_running: int
