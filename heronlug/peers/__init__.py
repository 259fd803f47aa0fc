"""Exchanges gossip between dispatchers, and tracks with few datagrams which peers serve and which are leaving."""

from heronlug.peers.goodbye import ALL_PEERS, GoodbyeSchedule
from heronlug.peers.gossip import Gossip

__all__ = ["ALL_PEERS", "GoodbyeSchedule", "Gossip"]
