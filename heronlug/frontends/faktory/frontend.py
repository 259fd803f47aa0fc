"""The second front: the Faktory work protocol, version 2, in RESP frames.

A job is a message, its jobtype names the class; a connected worker (wid) is a host of the south side.  The core
decides which worker gets a job, and the worker's FETCH collects it.  What has been delivered may have run: if the
connection it went out on is lost, a beat is missed or the reservation passes, that relay ends as a reset.
"""

import asyncio
import hashlib
import hmac
import math
import secrets
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from functools import partial
from typing import Any, cast

import orjson

from heronlug.balancer.events import ListKind, Outcome, ProgressKind, ServerState
from heronlug.balancer.settings import RequestClass
from heronlug.frontends.faktory.recovery import Kept, Store, Way, left, must_be_kept_first, recovered
from heronlug.net import http
from heronlug.net.connection_state import peer_has_closed
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.model import Attempt, FinalAnswer, ListedServer, Request
from heronlug.requests.slots import SlotTable
from heronlug.scheduling.chains import Chains, Edge, Start, edges_of

VERSION = 2
FETCH_WAIT = 2_000.0  # a FETCH with nothing to collect is answered with nothing after this
PICK_UP = 2_500.0  # a job that its worker does not collect in this time never ran, and goes elsewhere
HAND_BACK = 50.0  # before the give-up time: what is not collected by then is refused and not failed
QUIET_STATES = {"quiet", "terminate", "quieting", "terminating"}


@dataclass(frozen=True, slots=True)
class FaktoryConfig:
    """What ``deploy/faktory.toml`` says of this front."""

    listen: tuple[str, int]
    password: str = ""
    beat_timeout: float = 60_000.0
    reserve_for: float = 1_800_000.0  # for jobs that do not say
    remember: float = 86_400_000.0  # a jid stays known for so long after its final answer
    max_known: int = 100_000  # jids; past that nothing is taken in, for to forget one may be to run it twice
    max_connections: int = 200
    store: str = ""  # the file of accepted work; without one a restart forgets it


class Refusal(Exception):
    """An ERR reply; the connection goes on."""


class Hangup(Refusal):
    """An ERR reply after which the connection is closed."""


@dataclass(slots=True, eq=False)
class Job:
    """One accepted job."""

    jid: str
    lane: int
    queue: str
    table: dict[str, Any]
    size: int
    reserve_for: float
    terms: RequestClass  # as it was accepted under, also for a time that is to come
    final: FinalAnswer | None = None
    waiting: "list[Taken] | None" = None  # who is to be told once it is kept; None: it is


Taken = Callable[["Refusal | None"], None]


@dataclass(slots=True, eq=False)
class Worker:
    """What is known of a wid."""

    wid: str
    connections: set["FaktoryConnection"] = field(default_factory=set)
    assigned: deque[Attempt] = field(default_factory=deque)  # sent to it by the core, not collected yet
    reserved: dict[str, "Reservation"] = field(default_factory=dict)  # collected and not ended, by jid
    state: str = ""  # as its beats tell
    beat: Key | None = None


@dataclass(slots=True, eq=False)
class Reservation:
    """A delivered job."""

    relay: Attempt
    worker: Worker
    connection: "FaktoryConnection"
    over: Key
    written: bool = False  # a byte of it may have gone out


def simple(text: str) -> bytes:
    """A simple string; an error begins with ``-``."""
    return f"+{text}\r\n".encode()


def error(text: str) -> bytes:
    """An error, of one line whatever it quotes."""
    return ("-ERR " + " ".join(text.split())[:300] + "\r\n").encode("utf-8", "replace")


def bulk(data: bytes | None) -> bytes:
    """A bulk string, or the null one."""
    return b"$-1\r\n" if data is None else b"$%d\r\n%s\r\n" % (len(data), data)


def _table(text: bytes) -> dict[str, Any]:
    try:
        table = orjson.loads(text)
    except ValueError:
        raise Refusal("malformed JSON") from None
    if not isinstance(table, dict):
        raise Refusal("not a JSON object")
    return table


def _tables(text: bytes) -> list[dict[str, Any]]:
    try:
        tables = orjson.loads(text)
    except ValueError:
        raise Refusal("malformed JSON") from None
    if not isinstance(tables, list) or not all(isinstance(table, dict) for table in tables):
        raise Refusal("not a JSON list of objects")
    return tables


def _figure(table: dict[str, Any], key: str) -> float | None:
    value = table.get(key)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise Refusal(f"{key} is no figure of 0 or more")
    return float(value)


class FaktoryConnection(asyncio.Protocol):
    """One connection, of a producer or a worker."""

    def __init__(self, front: "FaktoryFrontend") -> None:
        self.front = front
        self.ticket = 0
        self.transport: asyncio.Transport | None = None
        self.worker: Worker | None = None
        self.reserved: set[str] = set()  # jids collected here
        self.queues: list[str] = []  # of the FETCH that waits, if one does
        self.waiting: Key | None = None
        self._commands: deque[bytes] = deque()  # read ahead while a FETCH waits, or something is being kept
        self._held = False
        self._lines = http.Lines()
        self._greeted = False
        self._salt = secrets.token_hex(8)
        self._closing = False
        self._doing = False
        self._silence: Key | None = None

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Say HI; whoever does not say HELLO in time is let go."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass, and keeps to it
        if not self.front.opened(self):
            self._closing = True
            self.transport.write(error("too many connections"))
            self.transport.close()
            return
        hello: dict[str, Any] = {"v": VERSION}
        if self.front.terms.password:
            hello |= {"s": self._salt, "i": ITERATIONS}
        self._silence = self.front.deadlines.call_after(15_000.0, self.close)
        self.transport.write(b"+HI " + orjson.dumps(hello) + b"\r\n")
        self.front.turn()

    def data_received(self, data: bytes) -> None:
        """Commands, a line each."""
        if self._closing:
            return
        try:
            self._commands.extend(self._lines.feed(data))
        except ValueError:
            self._hang_up("line too long")
        self._next()
        if len(self._commands) > 256 and self.transport is not None:
            self._hang_up("too many commands at once")
        self.front.turn()

    def connection_lost(self, exc: Exception | None) -> None:
        """What was collected here and not acknowledged may have run."""
        self._closing = True
        self.front.deadlines.cancel(self._silence)
        self.front.closed(self)
        self.front.turn()

    # -- commands

    def write(self, data: bytes) -> None:
        """Reply."""
        if self.transport is not None and not self._closing:
            self.transport.write(data)

    def close(self) -> None:
        """End the connection."""
        self._closing = True
        if self.transport is not None:
            self.transport.close()

    def fetched(self, data: bytes | None) -> None:
        """The FETCH that waits is answered."""
        self.front.deadlines.cancel(self.waiting)
        self.waiting, self.queues = None, []
        self.write(bulk(data))
        self._next()

    @property
    def here(self) -> bool:
        """Whether the other side has not left, as far as our machine knows, read or not."""
        return self.transport is not None and not self._closing and not peer_has_closed(self.transport)

    def hold(self) -> Callable[[bytes], None]:
        """Read no further until what this returns is called with the reply; it may be called at once."""
        self._held = True

        def reply(data: bytes) -> None:
            self._held = False
            self.write(data)
            if not self._doing:
                self._next()

        return reply

    def _hang_up(self, why: str) -> None:
        self._commands.clear()
        self.write(error(why))
        self.close()

    def _next(self) -> None:
        while self._commands and not self._closing and self.waiting is None and not self._held:
            word, _, rest = self._commands.popleft().strip().partition(b" ")
            self._doing = True
            try:
                self._do(word.decode("ascii", "replace").upper(), rest.strip())
            except Hangup as refusal:
                self._hang_up(str(refusal))
            except Refusal as refusal:
                self.write(error(str(refusal)))
            except Exception as fault:  # one connection ends, the process does not
                self.front.log("exception", where="faktory", error=repr(fault))
                self._hang_up("internal error")
            finally:
                self._doing = False

    def _do(self, word: str, rest: bytes) -> None:
        front = self.front
        if not self._greeted:
            if word != "HELLO":
                raise Hangup("say HELLO first")
            self._hello(_table(rest))
        elif word == "PUSH":
            table = _table(rest)
            reply = self.hold()
            front.push(table, lambda refusal: reply(simple("OK") if refusal is None else error(str(refusal))))
        elif word == "PUSHB":
            tables = _tables(rest)
            replies = self.hold()
            front.push_all(tables, lambda refused: replies(bulk(orjson.dumps(refused))))
        elif word == "FETCH":
            self._fetch(rest)
        elif word in ("ACK", "FAIL"):
            front.end(self, _table(rest), Outcome.SERVED if word == "ACK" else Outcome.ERROR)
            ended = self.hold()
            front.store.after(lambda why: ended(error(f"not kept: {why}") if why else simple("OK")))
        elif word == "BEAT":
            state = front.beat(_table(rest))
            self.write(bulk(orjson.dumps({"state": state})) if state else simple("OK"))
        elif word == "INFO":
            self.write(bulk(orjson.dumps(front.info())))
        elif word == "END":
            self.write(simple("OK"))
            self.close()
        else:
            raise Refusal(f"unknown command {word[:20]}")

    def _hello(self, table: dict[str, Any]) -> None:
        if table.get("v") != VERSION:
            raise Hangup(f"only protocol version {VERSION} is spoken here")
        password = self.front.terms.password
        if password:
            digest = (password + self._salt).encode()
            for _ in range(ITERATIONS):
                digest = hashlib.sha256(digest).digest()
            if not hmac.compare_digest(digest.hex(), str(table.get("pwdhash", ""))):
                raise Hangup("invalid password")
        wid = table.get("wid")
        if wid is not None and (not isinstance(wid, str) or not 0 < len(wid) <= 64):
            raise Hangup("wid is no text of 1 to 64 characters")
        self._greeted = True
        self.front.deadlines.cancel(self._silence)
        self.write(simple("OK"))
        if wid is not None:
            self.front.join(self, wid)

    def _fetch(self, rest: bytes) -> None:
        if self.worker is None:
            raise Refusal("FETCH needs a HELLO with a wid")
        self.queues = rest.decode("utf-8", "replace").split() or ["default"]
        self.waiting = self.front.deadlines.call_after(FETCH_WAIT, self.fetched, None)
        self.front.match(self.worker)


ITERATIONS = 2048


class FaktoryFrontend:
    """The front: jobs by jid, workers by wid, and a core of its own that decides about them."""

    core: Core

    def __init__(
        self,
        terms: FaktoryConfig,
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
        store: Store,
    ) -> None:
        self.store = store
        self.terms, self.deadlines, self.log, self.turn = terms, deadlines, log, turn
        self.connections: SlotTable[FaktoryConnection] = SlotTable()
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, Job] = {}  # all known jids
        self.ended = 0  # reservations that ended with an ACK or a FAIL
        self.resets = 0
        self.stopping = False
        self._scheduled: dict[str, tuple[Key, Job]] = {}  # jobs whose time has not come, by jid
        self._chains = Chains()
        self._chained: dict[str, tuple[Job, float, float]] = {}  # jobs that wait for others, with what they may take

    def protocol(self) -> FaktoryConnection:
        """A protocol for a new connection."""
        return FaktoryConnection(self)

    def open(self, taking: bool) -> None:
        """Take jobs in, or only work off what was taken; what was to come later has not run and is refused."""
        self.stopping = not taking
        if not taking:
            for key, job in self._scheduled.values():
                self.deadlines.cancel(key)
                if not self.store.lasts:
                    self._final(job, FinalAnswer.REFUSED)
            self._scheduled.clear()
            if not self.store.lasts:
                for job, _, _ in list(self._chained.values()):
                    if job.final is None:
                        self._final(job, FinalAnswer.REFUSED)

    # -- what the core asks

    def send(self, relay: Attempt) -> None:
        """Assign a job to a worker, which has to collect it soon."""
        worker = self.workers[relay.server.entry.name]
        if not worker.connections or worker.state:
            self.core.attempt_ended(relay, Outcome.CONNECT_FAILED)
            return
        worker.assigned.append(relay)
        limit = min(PICK_UP, relay.request.give_up_at - HAND_BACK - self.deadlines.clock())
        relay.exchange = self.deadlines.call_after(max(0.0, limit), self._not_collected, relay)
        self.match(worker)

    def cancel(self, relay: Attempt) -> None:
        """Give a relay up: a worker cannot be stopped, but what it ends with does not count any more."""
        worker = self.workers[relay.server.entry.name]
        self._unassign(worker, relay)
        jid = relay.request.payload.jid
        if jid in worker.reserved and worker.reserved[jid].relay is relay:
            self._release(worker, jid)

    def client_waits(self, message: Request) -> bool:
        """Nobody waits on a connection for what is kept under its jid."""
        return True

    def answer(self, message: Request, final: FinalAnswer, body: bytes, come_back: float) -> None:
        """The one final answer: by the protocol no one waits for it, so it is kept under the jid and logged."""
        if self.stopping and self.store.lasts and final is FinalAnswer.REFUSED:
            self.log("job_kept", jid=message.payload.jid)  # it never ran, and the next process goes on with it
            return
        self._final(message.payload, final)

    def _final(self, job: Job, final: FinalAnswer) -> None:
        job.final = final
        job.table = {}
        self.store.end(job.jid, final.value, self.deadlines.clock())
        self.log("job_answered", jid=job.jid, final=final.value)
        self.deadlines.call_after(self.terms.remember, self._forget, job)
        self._ended(job.jid, final is FinalAnswer.SERVED)

    def _ended(self, jid: str, served: bool) -> None:
        """What waited for a job goes on, or has failed with it."""
        self._chained.pop(jid, None)
        found = self._chains.ended(jid, served)
        for child in found.failed:
            job, _, _ = self._chained.pop(child)
            self.log("job_chain_failed", jid=child, cause=jid)
            self._final(job, FinalAnswer.FAILED)
        for child in found.released:
            job, wait, due = self._chained.pop(child)
            self._begin(job, wait, due)

    # -- producers

    def push(self, table: dict[str, Any], taken: Taken) -> None:
        """Take a job in, and tell when it is kept, or why not.  One that is known by its jid starts nothing new."""
        try:
            self._push(table, taken)
        except Refusal as refusal:
            taken(refusal)

    def _push(self, table: dict[str, Any], taken: Taken) -> None:
        jid = table.get("jid")
        if not isinstance(jid, str) or not 8 <= len(jid) <= 128:
            raise Refusal("jid is no text of 8 to 128 characters")
        known = self.jobs.get(jid)
        if known is not None:
            if known.final in (FinalAnswer.REFUSED, FinalAnswer.FAILED):
                raise Refusal(f"jid {jid} has had its final answer: {known.final.value}")
            if known.waiting is None:
                taken(None)
            else:
                known.waiting.append(taken)
            return
        names = [lane.name for lane in self.core.settings.classes]
        if table.get("jobtype") not in names:
            raise Refusal("jobtype names no class")
        if not isinstance(table.get("args"), list):
            raise Refusal("args is no list")
        queue, custom = table.get("queue", "default"), table.get("custom") or {}
        if not isinstance(queue, str) or not queue or not isinstance(custom, dict):
            raise Refusal("queue is no text, or custom no object")
        data = orjson.dumps(table)
        if len(data) > http.MAX_BODY:
            raise Refusal("a job holds 64 KiB at most")
        lane = names.index(table["jobtype"])
        deadline = self.core.settings.classes[lane].deadline
        remaining = _figure(custom, "remaining_ms")
        reserve = _figure(table, "reserve_for")
        if self.stopping:
            raise Refusal("stopping, try another dispatcher")
        if len(self.jobs) >= self.terms.max_known:
            raise Refusal("too many jobs are known, come back later")
        reserve = reserve * 1000 if reserve else self.terms.reserve_for
        due = self._due(table)
        self._edges(custom)
        job = Job(jid, lane, queue, table, len(data), reserve, self.core.settings.classes[lane], waiting=[taken])
        self.jobs[jid] = job
        wait = deadline if remaining is None else remaining
        record = Kept(jid, names[lane], queue, data, self.deadlines.clock(), wait, due)
        self.store.accept(record, lambda why: self._accepted(job, wait, due, why))

    def _accepted(self, job: Job, wait: float, due: float, why: str) -> None:
        """A job is kept, and goes on its way; or it could not be, and was never accepted."""
        waiting, job.waiting = job.waiting or [], None
        refusal: Refusal | None = None
        if why:
            del self.jobs[job.jid]
            refusal = Refusal(f"it cannot be kept: {why}")
        elif self._chain(job, wait, due):
            message = self._begin(job, wait, due)
            if message is not None and message.final_answer is FinalAnswer.REFUSED and not message.attempts:
                del self.jobs[job.jid]  # it was never accepted: to push it again is harmless
                self.store.forget(job.jid)
                refusal = Refusal("refused, come back later")
        if refusal is not None:
            self._ended(job.jid, False)
        for taken in waiting:
            taken(refusal)

    def _edges(self, custom: dict[str, Any]) -> list[Edge]:
        """What a job waits for; raises :class:`Refusal` for a parent that nobody has pushed."""
        try:
            edges = edges_of(custom.get("after"), custom.get("on_failure"))
        except ValueError as fault:
            raise Refusal(str(fault)) from None
        for edge in edges:
            if edge.parent not in self.jobs:
                raise Refusal(f"after: {edge.parent} is not known")
        return edges

    def _chain(self, job: Job, wait: float, due: float) -> bool:
        """Whether a job may begin; else it waits for others, or has failed with one of them."""
        custom = job.table.get("custom") or {}
        edges = edges_of(custom.get("after"), custom.get("on_failure"))
        # a parent that has been forgotten had ended long ago, and let go of this one by then
        known = [(edge, self.jobs[edge.parent]) for edge in edges if edge.parent in self.jobs]
        start = self._chains.add(
            job.jid,
            [edge for edge, parent in known if parent.final is None],
            [(edge, parent.final is FinalAnswer.SERVED) for edge, parent in known if parent.final is not None],
        )
        if start is Start.WAITS:
            self._chained[job.jid] = job, wait, due
        elif start is Start.FAILED:
            self.log("job_chain_failed", jid=job.jid, cause="a parent had failed")
            self._final(job, FinalAnswer.FAILED)
        return start is Start.READY

    def _begin(self, job: Job, wait: float, due: float) -> Request | None:
        """Hand it to the core, now or when its time has come."""
        if due > self.deadlines.clock() and not self.stopping:
            self._scheduled[job.jid] = self.deadlines.call_at(due, self._take, job, wait), job
            return None
        return self._take(job, wait)

    def push_all(self, tables: list[dict[str, Any]], told: Callable[[dict[str, str]], None]) -> None:
        """Take many jobs in; tells what was not taken, by jid, once all of them are kept or not."""
        refused: dict[str, str] = {}
        left_over = len(tables)

        def one(jid: str, refusal: Refusal | None) -> None:
            nonlocal left_over
            left_over -= 1
            if refusal is not None:
                refused[jid] = str(refusal)
            if not left_over:
                told(refused)

        for table in tables:
            self.push(table, partial(one, str(table.get("jid", ""))))
        if not tables:
            told(refused)

    def recover(self) -> None:
        """Go on with what was accepted before a restart: each job as its class allows."""
        now, lanes = self.deadlines.clock(), self.core.settings.classes
        found, counts = recovered(self.store, {lane.name: lane for lane in lanes}, now, self.terms.remember)
        open_jobs = [(self._recover(record, way, now), record, way) for record, way in found]
        for job, record, way in open_jobs:  # all are known by now, so that chains find their parents
            if job.final is not None:
                continue
            if record.delivered_at:
                self._take(job, left(record, now))  # its parents had let go of it
            elif self._chain(job, record.remaining, record.due):
                self._begin(job, record.remaining if way is Way.LATER else left(record, now), record.due)
        if found:
            self.log("recovered", jobs=len(found), **counts)

    def _recover(self, record: Kept, way: Way, now: float) -> Job:
        names = [lane.name for lane in self.core.settings.classes]
        lane = names.index(record.lane) if record.lane in names else 0
        terms = self.core.settings.classes[lane]
        table = orjson.loads(record.table) if record.table else {}
        reserve = float(table.get("reserve_for") or 0) * 1000 or self.terms.reserve_for
        job = Job(record.jid, lane, record.queue, table, len(record.table), reserve, terms)
        self.jobs[record.jid] = job
        if record.final:
            job.final, job.table = FinalAnswer(record.final), {}
            over = max(0.0, self.terms.remember - max(0.0, now - record.ended_at))
            self.deadlines.call_after(over, self._forget, job)
            if way is not Way.KNOWN:
                may = " (may have run)" if record.delivered_at else ""
                self.log("job_answered", jid=job.jid, final=record.final + may, cause="restart")
        return job

    def _due(self, table: dict[str, Any]) -> float:
        at = table.get("at")
        if not at:
            return 0.0
        try:
            return datetime.fromisoformat(str(at)).astimezone().timestamp() * 1000
        except ValueError:
            raise Refusal("at is no time") from None

    def _take(self, job: Job, remaining: float) -> Request:
        self._scheduled.pop(job.jid, None)
        return self.core.accept(job, job.lane, remaining, size=job.size, policy=job.terms)

    # -- workers

    def join(self, connection: FaktoryConnection, wid: str) -> None:
        """A connection says whose it is; with its first one the worker comes to life."""
        worker = self.workers.get(wid)
        if worker is None:
            worker = self.workers[wid] = Worker(wid)
        connection.worker = worker
        if not worker.connections:
            worker.state = ""
            worker.connections.add(connection)
            self._beaten(worker)
            self._list([(wid, ServerState.READY)])
        worker.connections.add(connection)

    def beat(self, table: dict[str, Any]) -> str:
        """A sign of life; returns the state that the worker has to take on, or nothing."""
        worker = self.workers.get(str(table.get("wid")))
        if worker is None or not worker.connections:
            raise Refusal("no worker of that wid is connected")
        self._beaten(worker)
        state = str(table.get("current_state") or table.get("state") or "")
        if state in QUIET_STATES and not worker.state:
            self._quiet(worker, "terminate" if state.startswith("terminat") else "quiet")
        return worker.state

    def match(self, worker: Worker) -> None:
        """Let the FETCHes that wait collect what is assigned; told off, a worker collects nothing."""
        for connection in [c for c in worker.connections if c.waiting is not None and c.here]:
            relay = next((r for r in worker.assigned if r.request.payload.queue in connection.queues), None)
            if relay is None or worker.state:
                continue
            self._unassign(worker, relay)
            # a copy for a worker that has the job already would be lost among its own reservations
            if not self.core.may_write(relay) or relay.request.payload.jid in worker.reserved:
                self.core.attempt_ended(relay, Outcome.FULL)
                continue
            job: Job = relay.request.payload
            over = self.deadlines.call_after(job.reserve_for, self._reset, worker, job.jid, "reservation passed")
            reservation = worker.reserved[job.jid] = Reservation(relay, worker, connection, over)
            connection.reserved.add(job.jid)
            self.deadlines.cancel(connection.waiting)
            connection.waiting = None
            if must_be_kept_first(job.terms):
                now = self.deadlines.clock()
                reply = connection.hold()
                self.store.deliver(job.jid, now, partial(self._deliver, reservation, reply))
            else:
                self._deliver(reservation, connection.hold(), "")

    def _deliver(self, reservation: Reservation, reply: Callable[[bytes], None], why: str) -> None:
        """That it goes out is kept: now its bytes may, if they still should."""
        relay, worker = reservation.relay, reservation.worker
        job: Job = relay.request.payload
        if worker.reserved.get(job.jid) is not reservation:
            reply(bulk(None))  # given up meanwhile, and not a byte has gone out
        elif why or not reservation.connection.here or not self.core.may_write(relay):
            self._release(worker, job.jid)
            self.core.attempt_ended(relay, Outcome.FULL)
            reply(bulk(None))
        else:
            reservation.written = True
            self.core.attempt_written()
            reply(bulk(orjson.dumps({"queue": "default", "retry": 0, **job.table})))
            self.core.attempt_progressed(relay, ProgressKind.STARTED)

    def end(self, connection: FaktoryConnection, table: dict[str, Any], outcome: Outcome) -> None:
        """An ACK or a FAIL; one for a job that is not reserved any more changes nothing."""
        worker, jid = connection.worker, table.get("jid")
        if worker is None:
            raise Refusal("ACK and FAIL need a HELLO with a wid")
        if not isinstance(jid, str) or jid not in self.jobs:
            raise Refusal("no such job")
        if jid not in worker.reserved:
            self.log("late_ack", jid=jid, wid=worker.wid)
            return
        relay = self._release(worker, jid)
        self.ended += 1
        self.core.attempt_ended(relay, outcome)

    def opened(self, connection: FaktoryConnection) -> bool:
        """Book a connection, if there is room."""
        connection.ticket = self.connections.add(connection)
        return len(self.connections) <= self.terms.max_connections

    def closed(self, connection: FaktoryConnection) -> None:
        """A connection is lost: what it collected is reset, and with its last one the worker is gone."""
        self.connections.remove(connection.ticket)
        self.deadlines.cancel(connection.waiting)
        connection.waiting = None
        worker = connection.worker
        if worker is None:
            return
        worker.connections.discard(connection)
        if not worker.connections:
            self._gone(worker)
        for jid in list(connection.reserved):
            self._reset(worker, jid, "connection lost")

    def info(self) -> dict[str, Any]:
        """The state, in the shape that Faktory's own tools read, and ours beside it."""
        waiting = sum(1 for job in self.jobs.values() if job.final is None)
        counts = {final.value: count for final, count in self.core.counts.items()}
        return {
            "server_utc_time": _utc(self.deadlines.clock()),
            "faktory": {
                "total_processed": sum(counts.values()),
                "total_failures": counts["failed"],
                "total_enqueued": waiting,
                "total_queues": len({job.queue for job in self.jobs.values() if job.final is None}),
                "tasks": {
                    "Workers": {"size": sum(1 for worker in self.workers.values() if worker.connections)},
                    "Working": {"size": sum(len(worker.reserved) for worker in self.workers.values())},
                },
            },
            "server": {"description": "heronlug", "connections": len(self.connections)},
            "heronlug": {**counts, "resets": self.resets},
        }

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.close()

    # -- inside

    def _forget(self, job: Job) -> None:
        if self.jobs.get(job.jid) is job:
            del self.jobs[job.jid]
            self.store.forget(job.jid)

    def _list(self, changes: Iterable[tuple[str, ServerState]]) -> None:
        # a worker collects at its own pace, so a fresh one cannot be pushed over: it is listed as started long ago
        self.core.update_servers(ListKind.CHANGES, [ListedServer(wid, wid, state) for wid, state in changes])

    def _beaten(self, worker: Worker) -> None:
        self.deadlines.cancel(worker.beat)
        worker.beat = self.deadlines.call_after(self.terms.beat_timeout, self._missed, worker)

    def _missed(self, worker: Worker) -> None:
        self.log("beat_missed", wid=worker.wid)
        for connection in list(worker.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self._gone(worker)
        for jid in list(worker.reserved):
            self._reset(worker, jid, "beat missed")

    def _quiet(self, worker: Worker, state: str) -> None:
        self.log("worker_told_off", wid=worker.wid, state=state)
        worker.state = state
        self._list([(worker.wid, ServerState.DRAINING)])
        self._hand_back(worker)

    def _gone(self, worker: Worker) -> None:
        self.deadlines.cancel(worker.beat)
        worker.state = worker.state or "terminate"
        self._list([(worker.wid, ServerState.REMOVED)])
        self._hand_back(worker)

    def _hand_back(self, worker: Worker) -> None:
        """What is assigned and not collected never ran."""
        for relay in list(worker.assigned):
            self._unassign(worker, relay)
            self.core.attempt_ended(relay, Outcome.CONNECT_FAILED)

    def _unassign(self, worker: Worker, relay: Attempt) -> None:
        if relay in worker.assigned:
            worker.assigned.remove(relay)
        self.deadlines.cancel(relay.exchange)
        relay.exchange = None

    def _not_collected(self, relay: Attempt) -> None:
        self._unassign(self.workers[relay.server.entry.name], relay)
        self.core.attempt_ended(relay, Outcome.FULL)

    def _release(self, worker: Worker, jid: str) -> Attempt:
        reservation = worker.reserved.pop(jid)
        self.deadlines.cancel(reservation.over)
        reservation.connection.reserved.discard(jid)
        return reservation.relay

    def _reset(self, worker: Worker, jid: str, why: str) -> None:
        """A delivered job may have run: the core does not send it again beyond what its class allows."""
        reservation = worker.reserved.get(jid)
        if reservation is not None:
            relay = self._release(worker, jid)
            self.resets += 1
            self.log("job_reset", jid=jid, wid=worker.wid, why=why)
            self.core.attempt_ended(relay, Outcome.RESET if reservation.written else Outcome.CONNECT_FAILED)


def _utc(now: float) -> str:
    return datetime.fromtimestamp(now / 1000, UTC).strftime("%H:%M:%S UTC")
