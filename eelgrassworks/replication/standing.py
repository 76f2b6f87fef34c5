"""What replicas say of each other's data folders.

A folder may come back older than it was, as an old copy or after writes that
were lost.  Every replica remembers the furthest state that it saw a folder
acknowledge, and a restarted one asks the others for it: it may vote and stand
once a majority has said that it never saw more than the folder holds.
"""

from collections.abc import Iterable

from eelgrassworks import errors
from eelgrassworks.links import messages


class Standing:
    """Who vouches for this folder, and what was seen of the others."""

    def __init__(self, name: str, disk: str) -> None:
        self._name = name
        self._disk = disk
        self._vouchers: set[str] = set()
        # Index and term that a folder was seen to hold, by its identity.
        self._seen: dict[str, tuple[int, int]] = {}

    def is_given(self, voters: Iterable[str], majority: int) -> bool:
        """Tell whether a majority of voters vouches for this folder."""
        vouching = self._vouchers.intersection(voters) | {self._name}
        return len(vouching) >= majority

    def has_word_of(self, peer: str) -> bool:
        """Tell whether another replica vouches for this folder."""
        return peer in self._vouchers

    def note_seen(self, disk: str, index: int, term: int) -> None:
        """Remember what a folder was seen to hold."""
        seen_index, seen_term = self._seen.get(disk, (0, 0))
        self._seen[disk] = (max(seen_index, index), max(seen_term, term))

    def tell(self, disk: str) -> messages.StandingTold:
        """Return what was seen of another folder."""
        return messages.StandingTold(disk, *self._seen.get(disk, (0, 0)))

    def take(
        self,
        peer: str,
        told: messages.StandingTold,
        last_index: int,
        term: int,
    ) -> errors.Refusal | None:
        """Take a replica's word; a refusal if this folder is too old."""
        if told.disk != self._disk:
            return None
        if told.seen_index > last_index or told.seen_term > term:
            return _refuse_regression(told.disk)
        self._vouchers.add(peer)
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
