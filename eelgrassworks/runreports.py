"""What an agent reports of the runs at its target, and whose they are."""

from collections.abc import Mapping
from collections.abc import Sequence

from eelgrassworks import contracts
from eelgrassworks import keyrecords
from eelgrassworks import machines
from eelgrassworks.links import messages
from eelgrassworks.machines import entryview

Occupants = Mapping[contracts.TaskKey, machines.Occupant]
Entries = Mapping[str, entryview.EntryView]


def list_orphans(
    occupants: Occupants, entries: Entries, entry_ttl_s: float, now_s: float
) -> tuple[messages.OrphanedJob, ...]:
    """Return the jobs with runs here whose entry is lost.

    It is unresponsive, or its run has ended.
    """
    if entry_ttl_s == float('inf'):
        return ()
    orphans: dict[messages.OrphanedJob, None] = {}
    for key, occupant in occupants.items():
        view = entries[occupant.entry]
        silent_s = now_s - view.confirmed_s
        run = contracts.read_run(key.submission)
        has_ended = run is not None and run != view.incarnation
        if silent_s > entry_ttl_s or has_ended:
            orphan = messages.OrphanedJob(occupant.entry, key.submission)
            orphans[orphan] = None
    return tuple(orphans)


def list_unended(
    occupants: Occupants,
    queued: Sequence[keyrecords.KeyRecord | None],
    entry: str,
) -> tuple[messages.ShownAttempt, ...]:
    """Return the attempts of an entry that run or are queued."""
    running = [
        messages.ShownAttempt(key.submission, key.index, occupant.attempt)
        for key, occupant in occupants.items()
        if occupant.entry == entry
    ]
    for record in queued:
        match record:
            case keyrecords.KeyQueued(peer, start) if peer == entry:
                running.append(
                    messages.ShownAttempt(
                        start.submission, start.index, start.attempt
                    )
                )
            case _:
                pass
    return tuple(running)


def list_shown(
    occupants: Occupants, entries: Entries, names: Sequence[str], now_s: float
) -> dict[str, list[messages.ShownAttempt]]:
    """Return the running attempts that each entry may not know of."""
    # As precise as the stamp that an entry returns.
    stamp_s = int(now_s * 1000) / 1000
    result: dict[str, list[messages.ShownAttempt]] = {
        name: [] for name in names
    }
    for key, occupant in occupants.items():
        listed = result.get(occupant.entry)
        if listed is None or not occupant.is_shown:
            continue
        if entries[occupant.entry].confirmed_s >= occupant.reported_s:
            continue
        occupant.reported_s = min(occupant.reported_s, stamp_s)
        listed.append(
            messages.ShownAttempt(key.submission, key.index, occupant.attempt)
        )
    return result


def is_later(message: object, view: entryview.EntryView) -> bool:
    """Tell whether a message of another run shows that the entry restarted.

    A connection may deliver messages of an earlier run after those of the
    current one.  They carry the stamps of earlier renewals, or none.
    """
    match message:
        case (
            messages.TaskStart(stamp_ms=stamp_ms)
            | messages.AgentLease(stamp_ms=stamp_ms)
            | messages.TaskFence(stamp_ms=stamp_ms)
        ):
            return stamp_ms / 1000 > view.confirmed_s
        case _:
            return False
