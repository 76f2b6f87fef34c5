"""The part of the configuration that applies to one target.

An agent needs neither the sheet nor the other failure domains, so it stores
only this part.
"""

import dataclasses

from eelgrassworks import contracts


@dataclasses.dataclass(frozen=True, slots=True)
class DomainPolicy:
    """The part of one configuration revision that applies to one target.

    ``any_kind`` is set when the failure domain may serve every kind of the
    sheet.
    """

    revision: int
    open: bool
    draining: bool
    kinds: frozenset[str]
    any_kind: bool = False


def project_policy(
    configuration: contracts.Configuration, failure_domain: str, target: str
) -> DomainPolicy:
    """Return the part of ``configuration`` that applies to ``target``."""
    kinds = frozenset(
        kind.name
        for kind in configuration.sheet.kinds.values()
        if failure_domain in kind.failure_domains
    )
    return DomainPolicy(
        configuration.revision,
        failure_domain not in configuration.closed,
        target in configuration.draining,
        kinds,
        len(kinds) == len(configuration.sheet.kinds),
    )
