"""Reports of agents on kinds that slow each other down, as messages."""

import msgspec

from eelgrassworks import effects
from eelgrassworks.links import messages
from eelgrassworks.machines import interference
from eelgrassworks.machines import interferencebeliefs
from eelgrassworks.machines import interferencemeter


def make_report(
    meter: interferencemeter.InterferenceMeter,
    confirmed_s: float,
    now_s: float,
) -> messages.KindsReport | msgspec.UnsetType:
    """Return the report for an entry; unset if the decision is off."""
    found = meter.report(confirmed_s, now_s)
    if found is None:
        return msgspec.UNSET
    if found.pairs is None:
        return messages.KindsReport(found.running)
    pairs = tuple(
        messages.PairReport(
            each.kind, each.beside, each.slowdown, each.samples
        )
        for each in found.pairs
    )
    return messages.KindsReport(found.running, pairs)


def apply_report(
    beliefs: interferencebeliefs.InterferenceBeliefs,
    peer: str,
    report: messages.KindsReport | msgspec.UnsetType,
    now_s: float,
) -> effects.Effects:
    """Apply the report of an agent; return the log lines."""
    changes = beliefs.apply(peer, _read(report), now_s)
    return [
        effects.Log(
            'kinds_kept_apart' if change.is_believed else 'kinds_mixed',
            {
                'kind': change.figure.kind,
                'beside': change.figure.beside,
                'slowdown': change.figure.slowdown,
                'samples': change.figure.samples,
            },
        )
        for change in changes
    ]


def _read(
    report: messages.KindsReport | msgspec.UnsetType,
) -> interference.Neighbourhood | None:
    if isinstance(report, msgspec.UnsetType):
        return None
    if report.pairs is None:
        return interference.Neighbourhood(report.running, None)
    pairs = tuple(
        interference.PairFigure(
            each.kind, each.beside, each.slowdown, each.samples
        )
        for each in report.pairs
    )
    return interference.Neighbourhood(report.running, pairs)
