"""Maps an HTTP host and path to a kind of request."""

from eelgrassworks import contracts


class Locator:
    """Index of the kinds of one sheet by host and path prefix."""

    def __init__(self, sheet: contracts.Sheet) -> None:
        self._kinds: dict[str, list[contracts.Kind]] = {}
        for kind in sheet.kinds.values():
            self._kinds.setdefault(kind.host, []).append(kind)
        for kinds in self._kinds.values():
            # Longest prefix first, so that the first match is the longest.
            kinds.sort(key=lambda kind: -len(kind.prefix))

    def find(self, host: str, path: str) -> contracts.Kind | None:
        """Return the kind with the longest matching path prefix, or None."""
        for kind in self._kinds.get(host, []):
            if path.startswith(kind.prefix):
                return kind
        return None
