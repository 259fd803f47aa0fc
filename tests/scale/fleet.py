"""Runs a dispatcher with a part of a core in front of a large fleet, on real sockets.

Clients, service discovery and server stand-ins run in the same process. Time jumps from event to event. While work that
grows with the number of servers runs, no request is accepted, answered or given up, as on the platform.
"""

import asyncio
import heapq
import json
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count

from end_to_end.harness import (
    LAST_CHUNK,
    REJECTED_RESPONSE,
    RESPONSE_HEAD,
    START_TIME,
    DispatcherHarness,
    ManualClock,
    StandInConnection,
    progress_chunk,
    request_bytes,
    request_id_of,
)
from exchange import SETTINGS

from heronlug.standins.ports import free_port

CPU_SHARE = 0.25  # part of a core that the dispatcher gets
RUN_MS = 1000.0  # run time of a request
DISPATCHERS = 1000
RELEASE_STEPS = 8  # groups of servers that a release replaces one after the other
AGGREGATORS = 2  # dispatchers that send load summaries
LATENCY_OBJECTIVE_MS = 200.0  # latency objective of the request classes
SUMMARY_INTERVAL_MS = LATENCY_OBJECTIVE_MS / 2  # time between two summaries of an aggregator
LOOP_TURNS = 12  # turns of the event loop that let bytes on loopback arrive and be answered
ANSWER_SLACK_MS = 500.0  # time after the due time of a request up to which its answer is not lost
DRAIN_GRACE_MS = 2550.0  # time after a notification to drain from which no attempt may begin
FINAL_STATUS_LINES = (b"HTTP/1.1 200 ", b"HTTP/1.1 500 ", b"HTTP/1.1 503 ")


class CpuMeteredClock(ManualClock):
    """A clock that tests set; CPU time of the thread also advances it, by ``1 / CPU_SHARE`` of its length."""

    def __init__(self) -> None:
        self._base_time, self._base_cpu = START_TIME, time.thread_time()

    @property
    def time_ms(self) -> float:
        return self._base_time + (time.thread_time() - self._base_cpu) * 1000 / CPU_SHARE

    @time_ms.setter
    def time_ms(self, when: float) -> None:
        self._base_time, self._base_cpu = max(self.time_ms, when), time.thread_time()

    def now(self) -> float:
        return self.time_ms


@dataclass
class ClientRequest:
    """A request as its client observes it.

    Attributes:
        name: request id.
        due: time in ms by which the client expects the final answer.
        connection: connection of the client.
        answered_at: time in ms of the final answer, 0 if none.
    """

    name: str
    due: float
    connection: StandInConnection
    answered_at: float = 0.0


class LargeFleet(DispatcherHarness):
    """A dispatcher in front of many servers.

    A release replaces 60% of the servers in steps; the servers of each step share an address.
    """

    def __init__(self, servers: int, *, peers: bool, started: float = 0.0) -> None:
        super().__init__(
            RELEASE_STEPS + 1,
            settings={
                "instances": DISPATCHERS,
                "position": 7,
                "lanes": [{**request_class, "goal_time": LATENCY_OBJECTIVE_MS} for request_class in SETTINGS["lanes"]],
            },
            limits={"second_copies": True, "attempts_cap": 6, "may_tell": peers, "max_open": 5000},
        )
        self.clock = CpuMeteredClock()
        self._aggregator_sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(AGGREGATORS)]
        for aggregator_socket in self._aggregator_sockets:
            aggregator_socket.bind(("127.0.0.1", 0))
        self._peer = ("127.0.0.1", free_port())
        if peers:
            own = f"{self._peer[0]}:{self._peer[1]}"
            others = [
                f"127.0.0.1:{aggregator_socket.getsockname()[1]}" for aggregator_socket in self._aggregator_sockets
            ]
            self.raw["peer_listen"], self.raw["peers"] = own, [*others, *[own] * 6]
        servers_per_step = servers * 6 // 10 // RELEASE_STEPS
        self.servers_per_step = servers_per_step
        # the last address is shared by all servers that exist at the end of a release
        self.address = {f"s-{n:08x}": f"h{min(n // servers_per_step, RELEASE_STEPS) + 1}" for n in range(servers)}
        self.server_names = list(self.address)
        self.raw["known"] = self.listing(3, self.server_names, started=started, whole=True)
        self.attempts_received: list[tuple[str, float]] = []  # stand-in and time of each attempt
        self.drained_at: dict[str, float] = {}  # time of the notification that all servers of a stand-in drain
        self.client_requests: list[ClientRequest] = []
        self.reject_all = False  # whether servers reject every attempt
        self._callbacks: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._version = 3

    def listing(
        self, version: int, server_names: list[str], state: str = "active", started: float = 0.0, whole: bool = False
    ) -> dict[str, object]:
        """Returns a full list or a list of changes in the format of service discovery."""
        return {
            "generation": version,
            "reset": whole,
            "instances": [
                {
                    "instanceId": name,
                    "hostPort": self.servers[self.address[name]].address,
                    "zone": "a",
                    "machineType": "m1",
                    "cell": 0,
                    "lifecycle": state,
                    "weight": 1.0,
                    "startedAtMs": started,
                }
                for name in server_names
            ],
        }

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a time in ms, even if the dispatcher is behind that time."""
        heapq.heappush(self._callbacks, (when, next(self._order), callback))

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in ms."""
        self.at(self.clock.now() + delay, callback)

    def send_list_changes(self, server_names: list[str], state: str, started: float = 0.0) -> None:
        """Makes service discovery answer the waiting watch with changes of the list."""
        self._version += 1
        body = json.dumps(self.listing(self._version, server_names, state, started)).encode()
        for connection in self.discovery.connections:
            if connection.take_request() and not connection.ended:
                connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def release(self, step: float) -> None:
        """Schedules a release that replaces 60% of the servers by new servers, in steps of ``step`` ms."""
        for number in range(RELEASE_STEPS):
            leaving = self.server_names[number * self.servers_per_step : (number + 1) * self.servers_per_step]
            new_servers = [f"r-{number}-{n:06x}" for n in range(self.servers_per_step)]
            self.address.update(dict.fromkeys(new_servers, f"h{RELEASE_STEPS + 1}"))
            self.call_later(number * step + step * 0.4, partial(self._drain, number, leaving))
            self.call_later(number * step + step * 0.7, partial(self._start, new_servers))
            self.call_later(number * step + step * 0.9, partial(self.send_list_changes, leaving, "left"))

    def _drain(self, number: int, server_names: list[str]) -> None:
        self.send_list_changes(server_names, "leaving")
        self.drained_at[f"h{number + 1}"] = self.clock.now()

    def _start(self, server_names: list[str]) -> None:
        self.send_list_changes(server_names, "active", self.clock.now())

    def summarize(self, level: int) -> None:
        """Makes two aggregators report this load level for all servers from now on."""
        self._summarize(level, self.clock.now())

    def _summarize(self, level: int, when: float) -> None:
        peers = self.application.core.dispatcher.state.peer_load
        for aggregator_socket in self._aggregator_sockets:
            for part in peers.summary([level] * len(peers.servers_in_order)):
                aggregator_socket.sendto(part, self._peer)
        self.at(when + SUMMARY_INTERVAL_MS, partial(self._summarize, level, when + SUMMARY_INTERVAL_MS))

    async def clients(self, count: int) -> list[StandInConnection]:
        """Opens idle client connections, each after a first request because unused connections are closed."""
        clients = [await self.client() for _ in range(count)]
        for client in clients:
            client.send(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
        await self.settle()
        assert all(client.take_request() for client in clients)
        return clients

    def ask_in_turn(self, clients: list[StandInConnection], gap: float, requests: int, remaining: int) -> None:
        """Schedules requests at a steady rate, each on a free connection."""

        def ask(number: int) -> None:
            busy = {
                client_request.connection for client_request in self.client_requests if not client_request.answered_at
            }
            free = [connection for connection in clients if connection not in busy]
            if free:
                self.client_requests.append(ClientRequest(f"t{number}", self.clock.now() + remaining, free[0]))
                free[0].send(request_bytes(f"t{number}", ("safe", "once", "keyed")[number % 3], remaining))

        for number in range(requests):
            self.call_later(number * gap, partial(ask, number))

    def _serve(self) -> None:
        """Starts the attempts that have arrived at the servers; each ends after ``RUN_MS``."""
        for standin in self.servers.values():
            for connection in standin.connections:
                while request := connection.take_request():
                    name = request_id_of(request)
                    self.attempts_received.append((standin.name, self.clock.now()))
                    if self.reject_all:
                        connection.send(REJECTED_RESPONSE)
                        continue
                    connection.send(RESPONSE_HEAD + progress_chunk(name, "started"))
                    self.call_later(RUN_MS, partial(connection.send, progress_chunk(name, "done", "ok") + LAST_CHUNK))

    def _note_answers(self) -> None:
        for client_request in self.client_requests:
            if not client_request.answered_at and (answer := client_request.connection.take_request()):
                assert answer.startswith(FINAL_STATUS_LINES)
                client_request.answered_at = self.clock.now()

    async def run_until(self, end_at: float) -> None:
        """Handles all events in order until ``end_at`` ms after the start, and on until no request has time left.

        A client that is behind asks later than planned, and its request has all of its time from then on.
        """
        end_at, deadlines = START_TIME + end_at, self.application.deadline_loop.deadlines
        while True:
            head = deadlines.next_due()
            callback_at = self._callbacks[0][0] if self._callbacks else float("inf")
            due = min(callback_at, head if head is not None else float("inf"))
            if due > max(end_at, self._last_due()) or self.clock.now() > 2 * end_at - START_TIME:
                break
            self.clock.time_ms = due
            if callback_at <= due:
                heapq.heappop(self._callbacks)[2]()
            else:
                self.application.turn()
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)
            self._serve()
            self._note_answers()

    def _last_due(self) -> float:
        """Returns the time up to which a request without an answer is not lost, 0 if all are answered."""
        waiting = [request for request in self.client_requests if not request.answered_at]
        return max((request.due + ANSWER_SLACK_MS for request in waiting), default=0.0)

    def lost(self) -> list[tuple[str, float, float]]:
        """Returns the requests without a final answer in time.

        Returns:
            For each request its name, its due time and the time of its answer (0 if none), in ms after the start.
        """
        late = [a for a in self.client_requests if not a.answered_at or a.answered_at > a.due + ANSWER_SLACK_MS]
        return [(a.name, a.due - START_TIME, a.answered_at - START_TIME if a.answered_at else 0.0) for a in late]

    def sent_to_draining(self) -> list[tuple[str, float]]:
        """Returns attempts that a server received later than the grace time after its notification to drain."""
        return [
            (name, at)
            for name, at in self.attempts_received
            if at > self.drained_at.get(name, float("inf")) + DRAIN_GRACE_MS
        ]

    def close(self) -> None:
        """Closes the sockets of the aggregators."""
        for aggregator_socket in self._aggregator_sockets:
            aggregator_socket.close()
