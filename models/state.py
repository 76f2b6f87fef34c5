"""States of a specification: tuples with named fields."""

from collections.abc import Callable
from typing import Any

State = tuple[Any, ...]
Step = tuple[str, State]


class Shape:
    """The field names of a state, with access to fields by name."""

    def __init__(self, *fields: str) -> None:
        self.fields = fields

    def read(self, state: State) -> dict[str, Any]:
        """Return the fields of a state by name."""
        return dict(zip(self.fields, state, strict=True))

    def replace(self, state: State, **changes: Any) -> State:
        """Return the state with some fields changed."""
        values = self.read(state) | changes
        return tuple(values[name] for name in self.fields)

    def halt_when(
        self,
        is_violation: Callable[[dict[str, Any]], bool],
        step: Callable[[State], list[Step]],
    ) -> Callable[[State], list[Step]]:
        """Return a transition function without steps after a violation.

        A violation is already a counterexample; later states add nothing.
        """

        def step_unless_violated(state: State) -> list[Step]:
            return [] if is_violation(self.read(state)) else step(state)

        return step_unless_violated


def replace_at(values: tuple[Any, ...], position: int, value: Any) -> Any:
    """Return a tuple with one value changed."""
    return (*values[:position], value, *values[position + 1 :])
