"""Collects the actions that follow from one event."""

from collections.abc import Iterable

from heronlug.balancer.actions import Action


class Outbox:
    """Collects the actions of the event that is being handled.

    Attributes:
        actions: the actions in the order in which the caller carries them out.
    """

    __slots__ = ("actions",)

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def begin(self) -> None:
        """Starts an empty list of actions for the next event."""
        self.actions = []

    def add(self, action: Action) -> None:
        """Appends an action."""
        self.actions.append(action)

    def extend(self, actions: Iterable[Action]) -> None:
        """Appends several actions in their order."""
        self.actions += actions
