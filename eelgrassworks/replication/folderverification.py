"""What replicas say of each other's data folders.

A folder may come back older than it was, as an old copy or after writes that
were lost.  Every replica remembers the furthest state that it saw a folder
acknowledge, and a restarted one asks the others for it: it may vote and stand
once a majority has said that it never saw more than the folder holds.
"""

from collections.abc import Iterable

from eelgrassworks import errors
from eelgrassworks.links import messages


class FolderVerification:
    """Who vouches for this folder, and what was seen of the others."""

    def __init__(self, name: str, disk: str) -> None:
        self._name = name
        self._disk = disk
        self._confirmed_by: set[str] = set()
        # Index and term that a folder was seen to hold, by its identity.
        self._seen: dict[str, tuple[int, int]] = {}

    def is_verified(self, voters: Iterable[str], majority: int) -> bool:
        """Tell whether a majority of voters vouches for this folder."""
        confirming = self._confirmed_by.intersection(voters) | {self._name}
        return len(confirming) >= majority

    def is_confirmed_by(self, peer: str) -> bool:
        """Tell whether another replica vouches for this folder."""
        return peer in self._confirmed_by

    def note_seen(self, disk: str, index: int, term: int) -> None:
        """Remember what a folder was seen to hold."""
        seen_index, seen_term = self._seen.get(disk, (0, 0))
        self._seen[disk] = (max(seen_index, index), max(seen_term, term))

    def make_response(self, disk: str) -> messages.StandingTold:
        """Return what was seen of another folder."""
        return messages.StandingTold(disk, *self._seen.get(disk, (0, 0)))

    def handle_response(
        self,
        peer: str,
        response: messages.StandingTold,
        last_index: int,
        term: int,
    ) -> errors.Refusal | None:
        """Take a replica's word; a refusal if this folder is too old."""
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
