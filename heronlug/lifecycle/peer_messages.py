"""Gossip of a running dispatcher: received by the core, sent by whichever process speaks for the dispatcher."""

from collections.abc import Callable

from heronlug.config.platform import Config
from heronlug.lifecycle.hot_restart.messages import slot_counts
from heronlug.lifecycle.hot_restart.session import HotRestart
from heronlug.lifecycle.log import Log
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines


class PeerMessages:
    """Joins the core with the peers' datagrams.

    Attributes:
        socket: the datagrams.
        core: of the HTTP frontend; set once it is made, since it sends through these messages.
        hot_restart: the handover to another process; set once it is made.
    """

    core: Core
    hot_restart: HotRestart

    def __init__(self, config: Config, deadlines: Deadlines, log: Log, turn: Callable[[], None]) -> None:
        """Make messages whose socket is not open yet."""
        position = config.settings.position
        self.socket = PeerSocket(config.peers, config.peers_all, position, self._receive, log, turn, deadlines.clock)

    def send(self, content: bytes, peer: int) -> None:
        """Send a message to a peer, -1 for all; through the process that has taken over, once there is one."""
        if self.hot_restart.handed_over:
            self.hot_restart.send_request_update(slot_counts(content))
        else:
            self.socket.send(content, peer)

    def _receive(self, peer: int, content: bytes) -> None:
        self.core.peer_message(peer, content)
