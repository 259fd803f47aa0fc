"""What dispatchers tell each other beside what the module says: who parts, who is at work, and what that costs."""

from heronlug.peers.goodbye import ALL, Goodbye
from heronlug.peers.gossip import Gossip

__all__ = ["ALL", "Goodbye", "Gossip"]
