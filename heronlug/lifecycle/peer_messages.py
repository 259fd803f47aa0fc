"""Passes gossip between the core and the peers, directly or through the successor process."""

from collections.abc import Callable

from heronlug.config.platform import Config
from heronlug.lifecycle.hot_restart.messages import slot_counts
from heronlug.lifecycle.hot_restart.session import HotRestart
from heronlug.lifecycle.log import Log
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines


class PeerMessages:
    """Connects the core with the datagram socket of the peers.

    Attributes:
        socket: The datagram socket.
        core: The core of the HTTP frontend; set after construction, since the core itself needs this object to send.
        hot_restart: The hot-restart session with other processes; set after construction.
    """

    core: Core
    hot_restart: HotRestart

    def __init__(self, config: Config, deadlines: Deadlines, log: Log, turn: Callable[[], None]) -> None:
        """Creates the connection with a socket that is not open yet."""
        position = config.settings.position
        self.socket = PeerSocket(config.peers, config.peers_all, position, self._receive, log, turn, deadlines.clock)

    def send(self, content: bytes, peer: int) -> None:
        """Sends a message to a peer, -1 for all peers; a successor, once there is one, sends the message instead."""
        if self.hot_restart.handed_over:
            self.hot_restart.send_request_update(slot_counts(content))
        else:
            self.socket.send(content, peer)

    def _receive(self, peer: int, content: bytes) -> None:
        self.core.peer_message(peer, content)
