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
        # Highest index and term that each disk was seen to hold.
        self._seen: dict[str, tuple[int, int]] = {}

    def is_verified(self, voters: Iterable[str], majority: int) -> bool:
        """Return whether a majority of voters confirms this folder."""
        confirming = self._confirmed_by.intersection(voters) | {self._name}
        return len(confirming) >= majority

    def is_confirmed_by(self, peer: str) -> bool:
        """Return whether another replica has confirmed this folder."""
        return peer in self._confirmed_by

    def record_seen(self, disk: str, index: int, term: int) -> None:
        """Record the index and term that a disk was seen to hold."""
        seen_index, seen_term = self._seen.get(disk, (0, 0))
        self._seen[disk] = (max(seen_index, index), max(seen_term, term))

    def make_response(self, disk: str) -> messages.VerificationResponse:
        """Return the recorded index and term of another disk."""
        return messages.VerificationResponse(
            disk, *self._seen.get(disk, (0, 0))
        )

    def handle_response(
        self,
        peer: str,
        response: messages.VerificationResponse,
        last_index: int,
        term: int,
    ) -> errors.Refusal | None:
        """Record a confirmation; return a refusal if the folder is older."""
        if response.disk != self._disk:
            return None
        if response.seen_index > last_index or response.seen_term > term:
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
