"""Collects the actions that follow from one event."""

from collections.abc import Iterable

from heronlug.balancer.actions import Action


class Outbox:
    """The actions of the event that is being handled, in the order in which they are to be carried out."""

    __slots__ = ("actions",)

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def begin(self) -> None:
        """Start with no actions: another event is being handled."""
        self.actions = []

    def add(self, action: Action) -> None:
        """Add one action."""
        self.actions.append(action)

    def extend(self, actions: Iterable[Action]) -> None:
        """Add several actions."""
        self.actions += actions
