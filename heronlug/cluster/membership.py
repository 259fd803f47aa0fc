"""Who is there: SWIM with Lifeguard's refinements, without I/O, clock or randomness of its own.

SWIM (Das, Gupta, Motivala 2002): a probe of one member each period, in a shuffled round; direct, then by others; news
ride on the datagrams that go out anyway; a suspect has time to refute by a higher incarnation. Lifeguard (Dadgar,
Phillips, Currey 2017): a member that seems slow itself probes more slowly (local health), suspicions get shorter as
others confirm them, and a suspect that is probed is told so in the same datagram (buddy). Between dispatchers only:
no host is probed.
"""

from collections.abc import Callable, Iterable
from math import ceil, inf, log
from random import Random

from heronlug.cluster.codec import MAX_BODY_SIZE, Ack, IndirectPing, Nack, Part, Ping, Sync, encode_part
from heronlug.cluster.model import ClusterTiming, Health, MemberChanged, MemberUpdate
from heronlug.cluster.ownership import tag

MAX_DIRECT_PINGS = 4  # direct ones within a period: a lost datagram is no reason to suspect anybody
FAST_REJOIN_WINDOW = 5000.0  # so long the dead are called more often, in ms
CARRIER_SIZE = 64  # bytes left for what a datagram is sent for, the rest is for news


class Member:
    """Another member as it is known here."""

    __slots__ = (
        "address",
        "changed_at",
        "health",
        "incarnation",
        "joined_at",
        "last_heard",
        "name",
        "suspected_by",
        "tag",
    )

    RESTART = 1000  # refutations add one to an incarnation, a new process starts with the time

    def __init__(self, name: str, address: str, incarnation: int, now: float) -> None:
        self.name, self.address, self.incarnation, self.tag = name, address, incarnation, tag(name)
        self.health, self.changed_at = Health.ALIVE, now
        self.last_heard = -inf  # when a datagram of it came last
        self.joined_at = now  # when it was last found to be there after it was not, or as a new process
        self.suspected_by: set[int] = set()  # tags of those that suspect it

    @property
    def active(self) -> bool:
        """Whether it is held to be there."""
        return self.health <= Health.SUSPECT


class Probe:
    """The probe of this period."""

    __slots__ = ("answered", "asked", "began", "member", "nacks", "number", "pings")

    def __init__(self, member: Member, number: int, began: float) -> None:
        self.member, self.number, self.began = member, number, began
        self.pings = 1
        self.asked = self.nacks = 0  # others asked to probe too, and how many of them have no answer either
        self.answered = False


class Membership:
    """The members as one of them sees them.  ``send`` takes an address and parts; ``told`` each change."""

    def __init__(
        self,
        name: str,
        address: str,
        incarnation: int,
        seeds: Iterable[str],
        terms: ClusterTiming,
        rng: Random,
        send: Callable[[str, list[Part]], None],
        told: Callable[[MemberChanged], None],
    ) -> None:
        self.name, self.address, self.incarnation, self.timing = name, address, incarnation, terms
        self.members: dict[str, Member] = {}
        self.by_tag: dict[int, Member] = {}
        self.seeds = [seed for seed in seeds if seed != address]
        self.leaving = False
        self.local_health = 0  # Lifeguard's local health multiplier, 0 is well
        self.suspicions = self.false_suspicions = self.refutations = self.clashes = 0
        self._rng, self._send, self._told = rng, send, told
        self._round: list[Member] = []
        self._probe: Probe | None = None
        self._number = rng.getrandbits(31)
        self._next_probe = self._next_join = -inf
        self._began = inf
        self._for: dict[int, tuple[float, str, int]] = {}  # probes for others: until, whom to tell, its number
        self._news: dict[str, tuple[int, MemberUpdate]] = {}  # by name: how often it has been told, and what

    # -- what is known

    def active_members(self) -> list[Member]:
        """Those that are held to be there."""
        return [member for member in self.members.values() if member.active]

    def quorum_candidates(self, now: float) -> list[Member]:
        """Those that have a say: also who is held dead but was heard just now, for then it is we who are not heard."""
        since = now - self.timing.lease_duration
        return [m for m in self.members.values() if m.active or (m.health is Health.DEAD and m.last_heard > since)]

    def next_wake(self) -> float:
        """When there is something to do."""
        times = [self._next_probe, self._next_join, self._next_ping(), *(until for until, *_ in self._for.values())]
        times += [self._over(member) for member in self.members.values() if member.health is Health.SUSPECT]
        return min(times)

    def next_updates(self, room: int = MAX_BODY_SIZE - CARRIER_SIZE) -> list[MemberUpdate]:
        """What to tell next, within so many bytes: what has been told least first."""
        limit = self.timing.retransmit_multiplier * ceil(log(len(self.members) + 2, 2))
        chosen: list[MemberUpdate] = []
        for name in sorted(self._news, key=lambda name: self._news[name][0]):
            told, item = self._news[name]
            size = len(encode_part(item))
            if size > room:
                continue
            room -= size
            chosen.append(item)
            if told + 1 >= limit:
                del self._news[name]
            else:
                self._news[name] = told + 1, item
        return chosen

    # -- time

    def wake(self, now: float) -> None:
        """Do what is due."""
        for number, (until, address, theirs) in list(self._for.items()):
            if until <= now:
                del self._for[number]
                self._send(address, [Nack(theirs)])
        for member in list(self.members.values()):
            if member.health is Health.SUSPECT and self._over(member) <= now:
                self._turn(member, Health.DEAD, now, "suspicion over")
            elif not member.active and now - member.changed_at > self.timing.forget_after:
                del self.members[member.name], self.by_tag[member.tag]
        if now >= self._next_join:
            self._began = min(self._began, now)
            young = (
                now - self._began < self.timing.settle_time
            )  # the list has to be whole by the time that we own anything
            # and whoever is cut off one way has to hear soon that the others are there
            young = young or any(
                m.health is Health.DEAD and now - m.changed_at < FAST_REJOIN_WINDOW for m in self.members.values()
            )
            self._next_join = now + self.timing.rejoin_interval * self._rng.uniform(0.75, 1.25) / (8 if young else 1)
            known = {member.address for member in self.active_members()}
            missing = [seed for seed in self.seeds if seed not in known]
            dead = [member.address for member in self.members.values() if member.health is Health.DEAD]
            missing += [address for address in dead if address not in missing]
            for seed in missing[:8]:
                self._send(seed, [Sync(), self._self()])
        self._drive(now)
        if now >= self._next_probe:
            self._begin(now)

    def _next_ping(self) -> float:
        """When the probe's member is pinged again: not once it has answered, or has had all pings of the period."""
        probe = self._probe
        if probe is None or probe.answered or probe.pings >= MAX_DIRECT_PINGS:
            return inf
        return probe.began + probe.pings * self.timing.probe_timeout * (self.local_health + 1)

    def _over(self, member: Member) -> float:
        """When a suspicion is over (LHA-Suspicion): the later, the fewer others confirm it."""
        terms = self.timing
        share = log(len(member.suspected_by) or 1) / log(terms.confirmations + 1)
        span = terms.suspicion_max - (terms.suspicion_max - terms.suspicion_min) * min(1.0, share)
        return member.changed_at + max(terms.suspicion_min, span)

    def _begin(self, now: float) -> None:
        if self._probe is not None and not self._probe.answered:
            self._fail(self._probe, now)
        self._probe = None
        self._next_probe = now + self.timing.probe_interval * (self.local_health + 1)
        if self.leaving:
            return
        while self._round and not self._round[-1].active:
            self._round.pop()
        if not self._round:
            self._round = self.active_members()
            self._rng.shuffle(self._round)
        if self._round:
            self._number = (self._number + 1) & 0xFFFFFFFF
            probe = self._probe = Probe(self._round.pop(), self._number, now)
            self._ping(probe.member, probe.number)

    def _drive(self, now: float) -> None:
        """Within a period: ping again, and after the first time-out have others ping too."""
        probe = self._probe
        while probe is not None and now >= self._next_ping():
            probe.pings += 1
            self._ping(probe.member, probe.number)
            if not probe.asked:
                helpers = [m for m in self.active_members() if m is not probe.member and m.health is Health.ALIVE]
                for helper in self._rng.sample(helpers, min(self.timing.indirect_probes, len(helpers))):
                    probe.asked += 1
                    self._send(helper.address, [IndirectPing(probe.number, probe.member.tag)])

    def _ping(self, member: Member, number: int) -> None:
        buddy = [self._about(member)] if member.health is Health.SUSPECT else []
        self._send(member.address, [Ping(number), *buddy])

    def _fail(self, probe: Probe, now: float) -> None:
        # Lifeguard: helpers that did not even say that they have no answer speak for a fault of our own
        self._slow(1 if probe.asked and not probe.nacks else 0)
        if probe.member.active:
            self._suspect(probe.member, tag(self.name), now, "no answer")

    def _slow(self, change: int) -> None:
        self.local_health = max(0, min(self.timing.local_health_max, self.local_health + change))

    # -- datagrams

    def receive(self, sender: int, address: str, parts: Iterable[Part], now: float) -> None:
        """What of a datagram has to do with members."""
        known = self.by_tag.get(sender)
        if known is not None:
            known.last_heard = now
        for part in parts:
            if isinstance(part, Ping):
                self._send(address, [Ack(part.number)])
            elif isinstance(part, Ack):
                self._answered(part.number, now)
            elif isinstance(part, Nack):
                if self._probe is not None and self._probe.number == part.number:
                    self._probe.nacks += 1
            elif isinstance(part, IndirectPing):
                whom = self.by_tag.get(part.target)
                if whom is not None:
                    self._number = (self._number + 1) & 0xFFFFFFFF
                    self._for[self._number] = now + 2 * self.timing.probe_timeout, address, part.number
                    self._ping(whom, self._number)
            elif isinstance(part, Sync):
                self._send(address, [*map(self._about, self.members.values()), self._self()])
            elif isinstance(part, MemberUpdate):
                self.apply_update(part, sender, now)

    def _answered(self, number: int, now: float) -> None:
        probe = self._probe
        if number in self._for:
            _, address, theirs = self._for.pop(number)
            self._send(address, [Ack(theirs)])
        elif probe is not None and probe.number == number and not probe.answered:
            probe.answered = True
            self._slow(-1)

    def apply_update(self, item: MemberUpdate, sender: int, now: float) -> None:
        """Take news in, by SWIM's order: the higher incarnation, and at the same one the worse health."""
        if item.name == self.name:
            self._about_us(item)
            return
        member = self.members.get(item.name)
        if member is None:
            if tag(item.name) in self.by_tag or tag(item.name) == tag(self.name):
                self.clashes += 1  # two names of one tag: the second is not let in
                return
            if item.health > Health.SUSPECT:
                return
            member = self.members[item.name] = Member(item.name, item.address, item.incarnation, now)
            self.by_tag[member.tag] = member
            self._round.insert(self._rng.randrange(len(self._round) + 1), member)
            self._spread(member)
            self._told(MemberChanged(member.name, Health.ALIVE, "joined"))
            if item.health is Health.SUSPECT:
                self._suspect(member, sender, now, "told")
            return
        if item.incarnation > member.incarnation:
            if not member.active or item.incarnation - member.incarnation >= Member.RESTART:
                member.joined_at = now
            member.incarnation, member.address = item.incarnation, item.address
            if item.health is Health.ALIVE:
                was, member.suspected_by = member.health, set()
                if was is Health.SUSPECT:
                    self.false_suspicions += 1
                self._turn(member, Health.ALIVE, now, "refuted" if was is not Health.ALIVE else "told")
                return
        elif item.incarnation < member.incarnation:
            return
        if item.health is Health.SUSPECT and member.active:
            self._suspect(member, sender, now, "told")
        elif item.health > member.health:
            self._turn(member, item.health, now, "told")

    def _about_us(self, item: MemberUpdate) -> None:
        """We are suspected, or held dead: refute with a higher incarnation, unless we leave."""
        if item.incarnation >= self.incarnation and item.health is not Health.ALIVE and not self.leaving:
            self.incarnation = item.incarnation + 1
            self.refutations += 1
            self._slow(1)
            self._news[self.name] = 0, self._self()

    def _suspect(self, member: Member, by: int, now: float, cause: str) -> None:
        if member.health is Health.ALIVE:
            self.suspicions += 1
            member.suspected_by = {by}
            self._turn(member, Health.SUSPECT, now, cause)
        elif member.health is Health.SUSPECT and by not in member.suspected_by:
            member.suspected_by.add(by)
            if len(member.suspected_by) <= self.timing.confirmations + 1:
                self._spread(member)  # those that suspect it independently are worth telling again

    def _turn(self, member: Member, health: Health, now: float, cause: str) -> None:
        changed = member.health is not health
        member.health = health
        if changed:
            member.changed_at = now
            self._told(MemberChanged(member.name, health, cause))
        self._spread(member)

    def leave(self) -> MemberUpdate:
        """We go on purpose: nobody has to suspect us."""
        self.leaving = True
        return self._self()

    def _spread(self, member: Member) -> None:
        self._news[member.name] = 0, self._about(member)

    def _self(self) -> MemberUpdate:
        return MemberUpdate(self.name, self.address, self.incarnation, Health.LEFT if self.leaving else Health.ALIVE)

    @staticmethod
    def _about(member: Member) -> MemberUpdate:
        return MemberUpdate(member.name, member.address, member.incarnation, member.health)
