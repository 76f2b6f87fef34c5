"""An entry's session with the control replicas.

Finds the leader, maintains the entry's lease and configuration, and resends
requests to the leader until they are answered.  Every request is idempotent:
a claim by the same owner and a change with the same id get the same verdict,
and a lookup changes nothing.
"""

import dataclasses
from typing import Any
from typing import Final

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import links
from eelgrassworks import zones
from eelgrassworks.links import homeleases
from eelgrassworks.links import messages

RENEWAL_INTERVAL_S: Final = 0.4
# Used while an operator waits for a change to be in force on all nodes.
EAGER_INTERVAL_S: Final = 0.1
LEADER_TIMEOUT_S: Final = 0.6
# A reachable replica responds at once, so the next one can be tried soon.
SEARCH_INTERVAL_S: Final = 0.15
RESEND_INTERVAL_S: Final = 0.3
REQUEST_TIMEOUT_S: Final = 3.0
# Requests that one run may number; the range of each run follows its nonce.
REQUEST_RANGE: Final = 1 << 31


@dataclasses.dataclass(frozen=True, slots=True)
class SessionOptions:
    """Identity of the entry and the control replicas that it uses.

    ``nonce`` distinguishes this run of the entry from all others.
    """

    name: str
    address: str
    nonce: int
    replicas: tuple[str, ...]
    failure_domain: str = ''


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request that the leader has not answered yet."""

    message: Any
    sent_s: float
    expires_s: float


class Session:
    """The entry's side of its session with the control replicas."""

    def __init__(self, options: SessionOptions) -> None:
        self.options = options
        self.incarnation = 0
        self.lease = zones.Lease()
        self._home_leases = homeleases.HomeLeases()
        self.configuration = contracts.Configuration(
            0, contracts.Sheet({}, {}), frozenset(), frozenset()
        )
        self.in_force_revision = 0
        self.replicas = options.replicas
        # The replicas that the settings list.
        self._listed_replicas = options.replicas
        self.roster = messages.RosterUpdate({}, {})
        # The live entries with their addresses, by a roster of a leader.
        self.live_entries: dict[str, str] = {}
        self.leader = options.replicas[0]
        # A leader that a replica named and whose address is requested.
        self._unknown_leader = ''
        self._leader_last_contact_s = float('-inf')
        self._last_renewal_s = float('-inf')
        self._first_renewal_ms: int | None = None
        # Responses to an earlier run may still arrive.
        self._next_request = options.nonce % REQUEST_RANGE * REQUEST_RANGE
        self._pending: dict[int | str, PendingRequest] = {}

    def has_confirmed_lease(self, now_s: float) -> bool:
        """Return whether work may start under the current configuration.

        The lease may confirm an earlier revision than the configuration: it
        was granted before the commit of each later one, and none of these is
        in force before all such leases have ended.  A lease of a later
        revision than the configuration does not count.
        """
        return (
            self.lease.is_valid(now_s)
            and self.lease.revision <= self.configuration.revision
        )

    def confirms_homes(self, now_s: float) -> bool:
        """Return whether the lease is authority to act on the known homes."""
        has_lease = self.lease.is_valid(now_s)
        return has_lease and self._home_leases.confirms_homes(now_s)

    def find_oldest_homes(self, now_s: float) -> int:
        """Return the lowest version of homes that a running lease names."""
        return self._home_leases.find_oldest(now_s)

    def claim(
        self, claims: tuple[contracts.Claim, ...], now_s: float
    ) -> effects.Effects:
        """Request that the leader commits claims."""
        self._next_request += 1
        return self._send_request(
            self._next_request,
            messages.ClaimsRequest(self._next_request, claims),
            now_s,
            now_s + REQUEST_TIMEOUT_S,
        )

    def look_up(
        self, submissions: tuple[str, ...], now_s: float
    ) -> effects.Effects:
        """Request the owners of submission ids from the leader."""
        self._next_request += 1
        return self._send_request(
            self._next_request,
            messages.LookupsRequest(self._next_request, submissions),
            now_s,
            now_s + REQUEST_TIMEOUT_S,
        )

    def change(
        self, request: contracts.ChangeRequest, now_s: float
    ) -> effects.Effects:
        """Request that the leader commits a change of the configuration."""
        return self._send_request(
            request.id,
            messages.ConfigurationChangeRequest(
                request.id,
                request.operator,
                request.expected_revision,
                links.pack(request.change),
            ),
            now_s,
            float('inf'),
        )

    def abandon(self, request: int | str) -> None:
        """Stop resending a request."""
        self._pending.pop(request, None)

    def handle_lease(
        self, peer: str, lease: messages.EntryLease, now_s: float
    ) -> bool:
        """Apply a renewed lease; False when another run has the name.

        A lease that answers a renewal of an earlier run is ignored.
        """
        if not self._is_requested(lease, now_s):
            return True
        self.leader = peer
        self._leader_last_contact_s = now_s
        if self.incarnation and lease.incarnation != self.incarnation:
            return False
        self.incarnation = lease.incarnation
        sent_s = lease.sent_ms / 1000
        remaining_s = lease.remaining_ms / 1000
        if self.lease.extend(lease.revision, sent_s, remaining_s):
            self._home_leases.record_lease(
                lease.homes_version, sent_s, remaining_s, now_s
            )
            self.in_force_revision = max(
                self.in_force_revision, lease.in_force_revision
            )
        return True

    def _is_requested(self, lease: messages.EntryLease, now_s: float) -> bool:
        """Tell whether a lease answers a renewal of this run.

        The boot clock rises over the runs of an entry on one machine.
        """
        first_ms = self._first_renewal_ms
        return first_ms is not None and (
            first_ms <= lease.sent_ms <= now_s * 1000
        )

    def apply_configuration(
        self, peer: str, configuration: contracts.Configuration
    ) -> bool:
        """Apply a configuration; False when it is not newer.

        Only a leader sends configurations, so renewals go to the sender from
        now on.  After a restart of all processes an entry thereby finds the
        new leader without a search.
        """
        if configuration.revision <= self.configuration.revision:
            return False
        self.configuration = configuration
        self.leader = peer
        return True

    def handle_roster(
        self, roster: messages.RosterUpdate, now_s: float, peer: str = ''
    ) -> effects.Effects:
        """Apply a roster and connect to its replicas.

        The replicas of the settings are retained, since a partitioned leader
        may send an outdated roster.  A roster without entries only names
        replicas: the leader lists this entry, and a relay that has just
        started knows nothing.
        """
        self._home_leases.record_homes(roster.homes.version)
        if roster.entries:
            self.roster = roster
            if roster.leader == peer:
                self.live_entries = roster.entries
        if roster.replicas:
            names = (*roster.replicas, *self._listed_replicas)
            self.replicas = tuple(dict.fromkeys(names))
        result: effects.Effects = [
            effects.Connect(name, address)
            for name, address in roster.replicas.items()
        ]
        leader = self._choose_leader(roster, peer, now_s)
        if not leader:
            return result
        self.leader, self._unknown_leader = leader, ''
        return result + self._renew(now_s) + self._resend(now_s, 0.0)

    def _choose_leader(
        self, roster: messages.RosterUpdate, peer: str, now_s: float
    ) -> str:
        """Return the leader to turn to; empty to stay with the current one.

        It is the one whose address was requested or, during a search, the
        sender that says it leads.  A deposed leader costs one renewal.
        """
        if self._unknown_leader in roster.replicas:
            return self._unknown_leader
        if (
            self._is_searching(now_s)
            and roster.leader == peer
            and peer in roster.replicas
            and peer != self.leader
        ):
            return peer
        return ''

    def add_replicas(self, names: tuple[str, ...]) -> None:
        """Add replicas of changed settings to the search for a leader."""
        self._listed_replicas = tuple(
            dict.fromkeys((*self._listed_replicas, *names))
        )
        self.replicas = tuple(dict.fromkeys((*self.replicas, *names)))

    def request_lease(self, now_s: float) -> effects.Effects:
        """Request a lease for a configuration that was just applied."""
        return self._renew(now_s)

    def handle_claims(self, response: messages.ClaimsResponse) -> list[Any]:
        """Return the verdicts, or none when the request is not pending."""
        if self._pending.pop(response.request, None) is None:
            return []
        return [links.unpack(variant) for variant in response.verdicts]

    def handle_change(
        self, response: messages.ConfigurationChangeResponse
    ) -> Any:
        """Return the verdict on a change and remove its pending request."""
        verdict = links.unpack(response.verdict)
        self._pending.pop(verdict.id, None)
        return verdict

    def follow_leader(
        self, peer: str, leader: str, now_s: float
    ) -> effects.Effects:
        """Switch to the leader that a replica named."""
        if not leader:
            # The next tick renews, with another replica after a timeout.
            self._last_renewal_s = float('-inf')
            return []
        if leader == self.leader:
            return []
        if leader not in self.replicas:
            # The settings name only some of the replicas.
            self._unknown_leader = leader
            return [effects.Send(peer, messages.RosterRequest())]
        self.leader = leader
        return self._renew(now_s) + self._resend(now_s, 0.0)

    def tick(self, now_s: float, eager: bool = False) -> effects.Effects:
        """Renew the lease, search for a leader and resend requests.

        With ``eager`` renewals are more frequent, so that the entry learns
        sooner which revision is in force.  The roster is requested if a lease
        names homes that it has not shown.
        """
        result: effects.Effects = []
        searching = self._is_searching(now_s)
        if now_s - self._last_renewal_s >= _choose_interval(searching, eager):
            if searching:
                self._try_next_replica()
            result += self._renew(now_s)
        result += self._home_leases.request_roster(self.leader, now_s)
        return result + self._resend(now_s, RESEND_INTERVAL_S)

    def _is_searching(self, now_s: float) -> bool:
        return now_s - self._leader_last_contact_s > LEADER_TIMEOUT_S

    def _send_request(
        self,
        request: int | str,
        message: object,
        now_s: float,
        expires_s: float,
    ) -> effects.Effects:
        self._pending[request] = PendingRequest(message, now_s, expires_s)
        return [effects.Send(self.leader, message)]

    def _renew(self, now_s: float) -> effects.Effects:
        self._last_renewal_s = now_s
        if self._first_renewal_ms is None:
            self._first_renewal_ms = int(now_s * 1000)
        renewal = messages.EntryRenewal(
            self.options.name,
            self.options.address,
            self.options.nonce,
            int(now_s * 1000),
            self.configuration.revision,
            self.roster.digest(),
            self.options.failure_domain,
        )
        return [effects.Send(self.leader, renewal)]

    def _resend(self, now_s: float, age_s: float) -> effects.Effects:
        result: effects.Effects = []
        for request, pending in list(self._pending.items()):
            if now_s >= pending.expires_s:
                del self._pending[request]
                continue
            if now_s - pending.sent_s >= age_s:
                pending.sent_s = now_s
                result.append(effects.Send(self.leader, pending.message))
        return result

    def _try_next_replica(self) -> None:
        replicas = self.replicas
        position = (
            replicas.index(self.leader) if self.leader in replicas else -1
        )
        self.leader = replicas[(position + 1) % len(replicas)]


def _choose_interval(searching: bool, eager: bool) -> float:
    """Return the interval between renewals in seconds."""
    if searching:
        return SEARCH_INTERVAL_S
    return EAGER_INTERVAL_S if eager else RENEWAL_INTERVAL_S
