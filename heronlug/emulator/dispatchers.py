"""An emulated dispatcher: the real core with the real decision module, and a network in place of sockets."""

from random import Random
from typing import TYPE_CHECKING, Any

from heronlug.balancer.events import ListKind, Outcome, ProgressKind, ServerState
from heronlug.balancer.settings import Effect
from heronlug.conformance import Answered, Listed, Sent, Started, Stopped, Taken
from heronlug.discovery.poll_failure import PollFailure
from heronlug.discovery.poll_pacing import WATCH, PollPacer, PollTerms
from heronlug.emulator.clients import Job
from heronlug.emulator.policies import OURS, POLICIES, Look
from heronlug.emulator.servers import Host, Run
from heronlug.emulator.timeline import VirtualDeadlines
from heronlug.requests.core import Core
from heronlug.requests.model import Attempt, FinalAnswer, ListedServer, Request, Workload

if TYPE_CHECKING:
    from heronlug.emulator.world import World

PROGRESS = 1000.0  # ms between words of a job that runs
MAX_COME_BACK = 2000.0


class Dispatcher:
    """One position, and its processes one after the other."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number, self.name = world, number, f"d{number}"
        self.zone = number % len(world.scenario.zones)
        self.up = False
        self.life = 0
        self.deadlines: VirtualDeadlines
        self.core: Core
        self._known: list[ListedServer] = []

    # -- its process

    def start(self) -> None:
        """A process starts, with the list that was held last."""
        world = self.world
        self.life += 1
        self.up = True
        seed = world.seed * 1000003 + self.number * 101 + self.life
        settings = world.settings(self.number, self.zone)
        self.deadlines = VirtualDeadlines(world.line)
        self.core = Core(
            settings,
            seed,
            self,
            self.deadlines,
            subscribe=self._watch,
            send_peer_message=self._tell,
            max_open=world.scenario.dispatchers.max_open,
            max_retry_after=MAX_COME_BACK,
        )
        if world.scenario.policy != OURS:
            self.core.dispatcher = POLICIES[world.scenario.policy](settings, seed, self._look)  # type: ignore[assignment]
        elif world.module is not None:
            self.core.dispatcher = world.module(settings, seed)
        table = world.scenario.register
        cost = table.call_ms if table.told and table.call_ms else None
        terms = PollTerms(settings.instances, settings.position, cost)
        self._pace = PollPacer(terms, Random(seed).random) if world.scenario.dispatchers.paced else None
        self._has = bool(self._known) or world.scenario.dispatchers.listed
        self._begun = False
        world.tell(Started(world.line.now, self.name))
        known = self._known or (list(world.register.entries.values()) if self._has else [])
        self._list(ListKind.CACHED, known)

    def kill(self) -> None:
        """The process is gone at once, and its clients see that."""
        world = self.world
        self.up, self.deadlines.dead = False, True
        self._known = [
            host.entry for host in self.core.directory.by_number.values() if host.entry.state is not ServerState.REMOVED
        ]
        world.register.leave(self)
        world.tell(Stopped(world.line.now, self.name, True))
        for relay in list(self.core.attempts):
            run: Run = relay.exchange
            if run is not None and run.began_at < 0:  # what runs goes on, for nobody
                world.line.after(world.delay(self.zone, run.job[1]), run.job[1].drop, run)
        for message in list(self.core.requests):
            if not message.closed:
                world.clients.lost(message.payload)

    # -- its clients

    def take(self, job: Job) -> None:
        """A client hands it a job."""
        world, lane = self.world, self.world.lanes[job.lane]
        now = world.line.now
        world.tell(Taken(now, self.name, job.name, lane.name, lane.effect is Effect.NON_IDEMPOTENT, job.give_up_at))
        self.core.accept(
            job, job.lane, job.give_up_at - now, request_id=job.name, workload=Workload(slots=float(job.need))
        )

    def client_waits(self, message: Request) -> bool:
        """Who leaves in the model is known at once."""
        return True

    def answer(self, message: Request, final: FinalAnswer, body: bytes, come_back: float) -> None:
        """The core's final answer."""
        job: Job = message.payload
        self.world.tell(Answered(self.world.line.now, self.name, job.name, final.value))
        self.world.clients.answered(job, final, come_back)

    # -- its hosts

    def send(self, relay: Attempt) -> None:
        """Begin a relay."""
        world, job = self.world, relay.request.payload
        host = world.hosts.get(relay.server.entry.name)
        if world.guarded and not self.core.may_write(relay):
            self.core.attempt_ended(relay, Outcome.CANCELLED_BEFORE_START)
            return
        if host is None or world.cut(self.zone, host.zone):
            world.line.after(
                world.scenario.network.dial_timeout_ms, self._ended, self.life, relay, Outcome.CONNECT_FAILED
            )
            return
        world.tell(Sent(world.line.now, self.name, job.name, host.name))
        self.core.attempt_written()
        world.sent(job, self.zone, host.zone)
        lane = world.lanes[job.lane]
        relay.exchange = Run((relay, host, self.life), job.work, float(job.need), lane.priority_weight, self._told)
        host.coming += job.need
        world.line.after(world.delay(self.zone, host), self._arrive, relay.exchange)

    def cancel(self, relay: Attempt) -> None:
        """Nobody waits for it any more; the host hears that."""
        run: Run | None = relay.exchange
        if run is not None:
            host: Host = run.job[1]
            if not self.world.cut(self.zone, host.zone):
                self.world.line.after(self.world.delay(self.zone, host), host.drop, run)

    def _arrive(self, run: Run) -> None:
        relay, host, life = run.job
        host.coming -= run.need
        if not relay.in_flight and life == self.life and self.up:
            return  # cancelled on its way
        if not host.up:
            self._back(run, Outcome.CONNECT_FAILED)
        elif not host.take(run):
            self._back(run, Outcome.FULL)

    def _told(self, run: Run, what: str) -> None:
        """The host has something to tell of a run."""
        if what == "started":
            self._later(run, self._noted, ProgressKind.STARTED, 0.0)
            self.world.line.after(PROGRESS, self._progress, run)
        else:
            self._back(run, Outcome.SERVED if what == "done" else Outcome.RESET)

    def _progress(self, run: Run) -> None:
        relay, host, _ = run.job
        if run.ends is not None and not host.still and relay.in_flight:
            whole = run.work * host.slow / host.kind.speed
            share = min(0.99, (self.world.line.now - run.began_at) / whole) if whole else 0.0
            self._later(run, self._noted, ProgressKind.PROGRESS, share)
        if relay.in_flight and run in host.running:
            self.world.line.after(PROGRESS, self._progress, run)

    def _back(self, run: Run, outcome: Outcome) -> None:
        self._later(run, self._ended_of, outcome)

    def _later(self, run: Run, what: Any, *args: Any) -> None:
        """What a host says comes after the way back, and not before a cut has healed."""
        relay, host, life = run.job
        if life != self.life or not self.up:
            return
        if self.world.cut(self.zone, host.zone):
            self.world.held.append((self._later, run, what, *args))
            return
        self.world.line.after(self.world.delay(self.zone, host), what, life, relay, *args)

    def _noted(self, life: int, relay: Attempt, kind: ProgressKind, share: float) -> None:
        if life == self.life and self.up:
            self.core.attempt_progressed(relay, kind, share)

    def _ended_of(self, life: int, relay: Attempt, outcome: Outcome) -> None:
        self._ended(life, relay, outcome)

    def _ended(self, life: int, relay: Attempt, outcome: Outcome) -> None:
        if life == self.life and self.up:
            self.core.attempt_ended(relay, outcome)

    # -- the register and the others

    def listed(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """News of the register."""
        self._list(kind, entries)

    def _list(self, kind: ListKind, entries: list[ListedServer]) -> None:
        now = self.world.line.now
        for entry in entries:
            self.world.tell(Listed(now, self.name, entry.name, _word_of(entry.state)))
        self.core.update_servers(kind, entries)

    @property
    def watch_ms(self) -> float:
        """How long a watch waits for news."""
        return self._pace.watch if self._pace is not None else WATCH

    def answered(self, took: float) -> None:
        """The register has answered with the list."""
        self._has = True
        if self._pace is not None:
            self._pace.answered(took)

    def turned_away(self) -> None:
        """It has not."""
        if self._pace is not None:
            self._call_at(self._pace.failed(self.deadlines.clock(), PollFailure.TURNED_AWAY, self._has))
        self._list(ListKind.FAILED, [])

    def _watch(self) -> None:
        if self._pace is None:
            self.world.register.watch(self)
        elif not self._begun:
            self._begun = True
            self._call_at(self._pace.begin(self.deadlines.clock(), self._has))

    def _call_at(self, when: float) -> None:
        """The pace says when; what the module asks for meanwhile is this call."""
        self.deadlines.call_at(when, self.world.register.watch, self)

    def _tell(self, content: bytes, peer: int) -> None:
        for other in self.world.dispatchers if peer < 0 else [self.world.dispatchers[peer]]:
            if other is not self:
                self.world.datagram(self, other, content)

    def heard(self, sender: int, content: bytes) -> None:
        """Another dispatcher's datagram."""
        if self.up:
            self.core.peer_message(sender, content)

    def _look(self, number: int) -> Look:
        host = self.world.hosts.get(self.core.directory.by_number[number].entry.name)
        if host is None:
            return Look(0.0, 0.0, 1.0, 1.0, 1.0, False, 0.0)
        far = 2 * self.world.median(self.zone, host.zone)
        well = host.up and not host.still and not self.world.cut(self.zone, host.zone)
        capacity = host.capacity()
        stands = host.warmth.tip_multiple * capacity
        return Look(host.inside, host.coming, stands, capacity, host.kind.speed / host.slow, well, far)


def _word_of(state: ServerState) -> str:
    """The state of a server in the conformance checker's records."""
    return "gone" if state is ServerState.REMOVED else state.name.lower()
