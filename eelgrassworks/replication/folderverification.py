"""Verification of data folders by the other replicas.

After a restart a folder may be older than the state that it acknowledged: it
may be restored from a copy, or may have lost writes.  Every replica records
the latest state that it saw each folder acknowledge.  A restarted replica
requests these records and may vote and campaign once a majority has confirmed
that its folder is not older than they are.
"""

from collections.abc import Iterable

from eelgrassworks import errors
from eelgrassworks.links import messages


class FolderVerification:
    """Confirmations of this folder, and records of the others."""

    def __init__(self, name: str, disk: str) -> None:
        self._name = name
        self._disk = disk
        self._confirmed_by: set[str] = set()
        # Highest term that each disk was seen to hold.
        self._terms: dict[str, int] = {}
        # Term of the leader and index up to which it saw the disk match its
        # own log.  A later leader may have truncated what an earlier one saw.
        self._positions: dict[str, tuple[int, int]] = {}

    def is_verified(self, voters: Iterable[str], majority: int) -> bool:
        """Return whether a majority of voters confirms this folder.

        A voter counts itself.
        """
        confirming = (self._confirmed_by | {self._name}).intersection(voters)
        return len(confirming) >= majority

    @property
    def confirmed_by(self) -> frozenset[str]:
        """Return the names of the replicas that have confirmed this folder."""
        return frozenset(self._confirmed_by)

    def is_confirmed_by(self, peer: str) -> bool:
        """Return whether another replica has confirmed this folder."""
        return peer in self._confirmed_by

    def record_term(self, disk: str, term: int) -> None:
        """Record a term that a disk holds durably."""
        self._terms[disk] = max(self._terms.get(disk, 0), term)

    def record_position(self, disk: str, index: int, leader_term: int) -> None:
        """Record the index up to which a disk durably matches a leader.

        Index 0 says that the leader has not heard from the disk yet.
        """
        if not index:
            return
        seen = self._positions.get(disk, (0, 0))
        self._positions[disk] = max(seen, (leader_term, index))

    def make_response(self, disk: str) -> messages.VerificationResponse:
        """Return the recorded index and terms of another disk."""
        leader_term, index = self._positions.get(disk, (0, 0))
        return messages.VerificationResponse(
            disk, index, self._terms.get(disk, 0), leader_term
        )

    def handle_response(
        self,
        peer: str,
        response: messages.VerificationResponse,
        last_index: int,
        last_term: int,
        term: int,
    ) -> errors.Refusal | None:
        """Record a confirmation; return a refusal if the folder is older.

        ``last_index`` and ``last_term`` belong to the last entry of the log.
        """
        if response.disk != self._disk:
            return None
        # Entries of a later leader may have replaced what the peer saw.
        is_replaced = 0 < response.seen_leader_term < last_term
        is_shorter = response.seen_index > last_index and not is_replaced
        if is_shorter or response.seen_term > term:
            return _refuse_regression(response.disk)
        self._confirmed_by.add(peer)
        return None


def _refuse_regression(disk: str) -> errors.Refusal:
    return errors.refuse(
        errors.Code.DATA_FOLDER,
        folder=disk,
        damaged='yes',
        reason='it is older than the state it once acknowledged',
        remedy='empty the folder and start the replica; it rejoins as a '
        'learner',
    )
