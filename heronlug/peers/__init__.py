"""Gossip between dispatchers: who serves, who is leaving, and how few datagrams it takes to say so."""

from heronlug.peers.goodbye import ALL_PEERS, GoodbyeSchedule
from heronlug.peers.gossip import Gossip

__all__ = ["ALL_PEERS", "GoodbyeSchedule", "Gossip"]
