"""heronlug makes the decisions of a dispatcher that pushes jobs to workers."""

from heronlug.interface import *  # noqa: F403
from heronlug.interface import __all__ as _interface_names
from heronlug.logic import Dispatcher

__version__ = "0.1.0"
__all__ = ["Dispatcher", *_interface_names]
