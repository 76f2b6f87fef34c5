"""When a busy entry has load balancers send its callers to other entries.

A load balancer spreads connections and not work.  The last entry of a failure
domain gets all callers of that domain, and keeps their connections when the
other entries are back.  An entry whose event loop is late for a while reports
that it is not ready.  Once load balancers have seen that, it closes
connections after every second response, so that callers connect elsewhere.
"""

import dataclasses
from typing import Final

from eelgrassworks import features

# A job waits for the event loop four times: for its request, its claim, its
# starts and its results.  This makes 0.1 s, a delay that callers notice.
BUSY_DELAY_S: Final = 0.025
# Calm again well below, so that the state does not change back and forth.
CALM_DELAY_S: Final = 0.01
# Weight of the delay of the latest tick: three ticks that come 0.1 s late in
# a row make the entry busy.
SMOOTHING: Final = 0.1
# One long pause of the process is not a load; it counts as this delay.
MAX_DELAY_S: Final = 0.1
# Bounds how long the other entries do without this one; in the long run it is
# away for a tenth of the time at most.
MAX_AWAY_S: Final = 8.0
AWAY_SHARE: Final = 0.1
# An entry goes away only if it can close connections for this long.
MIN_CLOSING_S: Final = 2.0
# Closing after each response would move all active callers at once.
RESPONSES_PER_CLOSE: Final = 2

Policy = features.Off | features.Rebalancing


@dataclasses.dataclass(frozen=True, slots=True)
class Calm:
    """The event loop is in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Away:
    """The event loop is late, and callers are to connect elsewhere."""

    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Overdrawn:
    """The event loop is late, but the entry has been away for long enough."""


class Rebalancing:
    """Decides for one entry whether callers are to connect elsewhere.

    ``notice_s`` is the time that load balancers need to notice that an entry
    is not ready.
    """

    def __init__(self, policy: Policy, notice_s: float) -> None:
        self.state: Calm | Away | Overdrawn = Calm()
        self.delay_s = 0.0
        self.connections_closed = 0
        # How long the entry may still be away.
        self.budget_s = MAX_AWAY_S
        self._policy = policy
        self._notice_s = notice_s
        self._updated_s = float('inf')
        self._responses = 0

    def record_delay(self, delay_s: float, now_s: float) -> bool:
        """Learn how late a tick is; tell whether the state has changed."""
        if isinstance(self._policy, features.Off):
            return False
        self._update_budget(now_s)
        delay_s = min(delay_s, MAX_DELAY_S)
        self.delay_s += SMOOTHING * (delay_s - self.delay_s)
        former = self.state
        self.state = self._find_state(now_s)
        return self.state != former

    def is_ready(self) -> bool:
        """Tell whether load balancers may send new connections."""
        return not isinstance(self.state, Away)

    def closes_connection(self, now_s: float) -> bool:
        """Tell whether the connection of a response is to be closed."""
        match self.state:
            case Away(since_s) if now_s - since_s >= self._notice_s:
                self._responses += 1
                is_closed = self._responses % RESPONSES_PER_CLOSE == 0
                self.connections_closed += is_closed
                return is_closed
            case _:
                return False

    def _find_state(self, now_s: float) -> Calm | Away | Overdrawn:
        match self.state:
            case Calm() if self.delay_s >= BUSY_DELAY_S:
                if self.budget_s < self._notice_s + MIN_CLOSING_S:
                    return Overdrawn()
                return Away(now_s)
            case Away() | Overdrawn() if self.delay_s < CALM_DELAY_S:
                return Calm()
            case Away() if self.budget_s <= 0:
                return Overdrawn()
            case state:
                return state

    def _update_budget(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        match self.state:
            case Away():
                self.budget_s -= elapsed_s
            case Calm() | Overdrawn():
                self.budget_s += AWAY_SHARE * elapsed_s
        self.budget_s = max(0.0, min(MAX_AWAY_S, self.budget_s))
