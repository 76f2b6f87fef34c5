"""Decisions of a relay: a control process without a data folder.

A relay is no replica.  It asks the replicas in turn which of them leads, and
directs operators, and entries that know no other control process, there.
"""

import dataclasses
from typing import Final

from eelgrassworks import control
from eelgrassworks import effects
from eelgrassworks.links import messages

POLL_INTERVAL_S: Final = 0.5
# While no leader is known, operators and entries have to ask elsewhere.
SEARCH_INTERVAL_S: Final = 0.15
# Two polls may get no response.
LEADER_MAX_AGE_S: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class RelayOptions:
    """Name of the relay, and the replicas that its settings list."""

    name: str
    replicas: tuple[str, ...]


class Relay:
    """The state and decisions of a relay."""

    def __init__(self, options: RelayOptions) -> None:
        self.options = options
        self.roster = messages.RosterUpdate({}, {})
        self.redirected = 0
        self._listed_replicas = options.replicas
        self._last_roster_s = float('-inf')
        self._last_poll_s = float('-inf')
        self._poll_count = 0

    def add_replicas(self, names: tuple[str, ...]) -> None:
        """Add replicas to poll."""
        self._listed_replicas = tuple(
            dict.fromkeys((*self._listed_replicas, *names))
        )

    def find_leader(self, now_s: float) -> str:
        """Return the leader's name; empty if it was not confirmed lately."""
        if now_s - self._last_roster_s > LEADER_MAX_AGE_S:
            return ''
        return self.roster.leader

    def handle(
        self, event: control.ControlEvent, now_s: float
    ) -> effects.Effects:
        """Process one event and return the resulting effects in order."""
        match event:
            case control.Received(peer, _, message):
                return self._handle_message(peer, message, now_s)
            case (
                control.ChangeRequested(request=request)
                | control.ConfigurationRequested(request=request)
            ):
                self.redirected += 1
                leader = self.find_leader(now_s)
                return [effects.Reply(request, control.NotLeading(leader))]
            case control.Ticked():
                return self._poll(now_s)
            case control.StopRequested():
                return [effects.Exit()]
            case control.Synced():
                return []

    def _handle_message(
        self, peer: str, message: object, now_s: float
    ) -> effects.Effects:
        match message:
            case messages.RosterUpdate():
                return self._handle_roster(message, now_s)
            case messages.RosterRequest():
                # Only a replica's word confirms a leader: two relays that ask
                # each other would confirm one that is gone.
                roster = messages.RosterUpdate(
                    self.roster.replicas, self.roster.entries, ''
                )
                return [effects.Send(peer, roster)]
            case messages.EntryRenewal():
                return [
                    self._send_replicas(peer, now_s),
                    self._send_not_leader(peer, now_s),
                ]
            case (
                messages.ClaimsRequest()
                | messages.LookupsRequest()
                | messages.ConfigurationChangeRequest()
            ):
                return [self._send_not_leader(peer, now_s)]
            case messages.AdmissionRequest():
                return [self._send_replicas(peer, now_s)]
            case _:
                return []

    def _send_replicas(self, peer: str, now_s: float) -> effects.Send:
        """Send a roster without entries, whose size does not grow."""
        roster = messages.RosterUpdate(
            self.roster.replicas, {}, self.find_leader(now_s)
        )
        return effects.Send(peer, roster)

    def _send_not_leader(self, peer: str, now_s: float) -> effects.Send:
        return effects.Send(peer, messages.NotLeader(self.find_leader(now_s)))

    def _handle_roster(
        self, roster: messages.RosterUpdate, now_s: float
    ) -> effects.Effects:
        """Apply a roster; one without a leader may come from a relay.

        Its addresses are used while no leader is known, and only for names
        that are new, since they may be outdated.
        """
        if roster.leader in roster.replicas:
            self._last_roster_s = now_s
            entries = roster.entries or self.roster.entries
            return self._replace_roster(
                messages.RosterUpdate(roster.replicas, entries, roster.leader)
            )
        if roster.leader or self.find_leader(now_s):
            return []
        replicas = {**roster.replicas, **self.roster.replicas}
        entries = {**roster.entries, **self.roster.entries}
        return self._replace_roster(
            messages.RosterUpdate(replicas, entries, self.roster.leader)
        )

    def _replace_roster(
        self, roster: messages.RosterUpdate
    ) -> effects.Effects:
        if roster == self.roster:
            return []
        self.roster = roster
        return [
            effects.Connect(name, address, persistent=False)
            for name, address in roster.replicas.items()
            if name != self.options.name
        ]

    def _poll(self, now_s: float) -> effects.Effects:
        is_known = bool(self.find_leader(now_s))
        interval_s = POLL_INTERVAL_S if is_known else SEARCH_INTERVAL_S
        if now_s - self._last_poll_s < interval_s:
            return []
        # The settings may list relays, which confirm no leader.
        listed = () if is_known else self._listed_replicas
        peers = dict.fromkeys((*listed, *self.roster.replicas))
        peers.pop(self.options.name, None)
        if not peers:
            return []
        self._last_poll_s = now_s
        self._poll_count += 1
        peer = list(peers)[self._poll_count % len(peers)]
        return [effects.Send(peer, messages.RosterRequest())]

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            'leader': self.find_leader(now_s),
            'replicas': dict(self.roster.replicas),
        }
