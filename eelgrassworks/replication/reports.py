"""Log lines on states that last, such as a replica without a leader.

Such a state is noticed again at every tick.  Its line is written when its
fields change, and repeated at an interval while they stay the same.
"""

from collections.abc import Iterable
from typing import Final

from eelgrassworks import effects

REPEAT_INTERVAL_S: Final = 5.0
# Bounds the lines of a state whose fields change all the time.
CHANGE_INTERVAL_S: Final = 0.5


class Reports:
    """Decides which of the lines of each event are written."""

    def __init__(self) -> None:
        # By event and peer: when it was logged last, and with which fields.
        self._logged: dict[
            tuple[str, str], tuple[float, dict[str, object]]
        ] = {}

    def report(
        self,
        event: str,
        fields: dict[str, object],
        now_s: float,
        peer: str = '',
    ) -> effects.Effects:
        """Return the line of an event, or nothing while it is not due.

        Lines on different peers do not hide each other.
        """
        key = (event, peer)
        logged_s, logged = self._logged.get(key, (float('-inf'), {}))
        is_same = logged == fields
        interval_s = REPEAT_INTERVAL_S if is_same else CHANGE_INTERVAL_S
        if now_s - logged_s < interval_s:
            return []
        self._logged[key] = (now_s, fields)
        return [effects.Log(event, fields)]


def join_names(names: Iterable[str]) -> str:
    """Return names in order, as one field of a line."""
    return ','.join(sorted(names))
