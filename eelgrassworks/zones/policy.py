"""What the configuration says to one target.

An agent needs neither the sheet nor the other failure domains; it holds the
projection of the configuration on its own target.
"""

import dataclasses

from eelgrassworks import contracts


@dataclasses.dataclass(frozen=True, slots=True)
class DomainPolicy:
    """The projection of one configuration revision on one target.

    With ``any_kind`` the failure domain may serve every kind there is.
    """

    revision: int
    open: bool
    draining: bool
    kinds: frozenset[str]
    any_kind: bool = False


def project_policy(
    configuration: contracts.Configuration, failure_domain: str, target: str
) -> DomainPolicy:
    """Return what ``configuration`` allows ``target`` to do."""
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
