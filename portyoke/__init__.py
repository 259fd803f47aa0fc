"""portyoke makes the decisions of a dispatcher that pushes jobs to workers."""

from portyoke.interface import *  # noqa: F403
from portyoke.interface import __all__ as _interface_names
from portyoke.logic import Dispatcher

__version__ = "0.1.0"
__all__ = ["Dispatcher", *_interface_names]
