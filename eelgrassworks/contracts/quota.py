"""Team quotas.

A quota bounds how much of the system one team may use and fixes its share
when teams compete.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Limits of one team.

    ``share`` weighs the team against others; ``max_queued`` bounds its tasks
    that wait in one entry process; ``max_running`` bounds its tasks that run
    through one entry process.
    """

    team: str
    share: float
    max_queued: int
    max_running: int
