"""No key has two holders: the lease by proof under random faults.

Daemons, targets, competing coordinators and a store run on one clock in steps
of STEP_MS, with messages delayed, daemons killed, frozen and cut off, targets
crashed, and the store away. With any one mechanism off the model finds two
holders, which shows that it would find a fault.
"""

import dataclasses
import random
import unittest
from unittest import mock

from primrosecross.domain import check_in
from primrosecross.domain import key_map
from primrosecross.domain import proof
from primrosecross.domain import range_decisions
from primrosecross.domain import target_watch
from tests import fakes
from tests import fleet_fakes

STEP_MS = 20
VMS = 5
PROBED_KEYS = range(0, 65536, 4096)
SEEDS = 20
LENGTH_MS = 90_000
SEEDS_TO_FAIL = 40
_NS = proof.NS_PER_MS


@dataclasses.dataclass
class _Later:
    at_ms: int
    act: object


class _Target:
    """Holds keys until its own, possibly slow, clock says otherwise."""

    def __init__(self, model: "_Model", vm: str) -> None:
        self.model = model
        self.vm = vm
        self.up = True
        self.born = 0
        self.begin()

    def begin(self) -> None:
        self.up = True
        self.born = self.model.now_ms + 1
        self.held: dict[tuple[int, int, int], float] = {}
        self.released: list[tuple[int, int, str]] = []
        self.sequence = 0
        self.drift = self.model.random.uniform(1.0, 1 + proof.DRIFT_SHARE)
        self.next_ms = self.model.now_ms

    def holds(self, key: int) -> int:
        """Returns the generation under which a key is held, 0 if it is not."""
        for (first, last, generation), until_ms in self.held.items():
            if first <= key <= last and self.model.now_ms < until_ms:
                return generation
        return 0

    def step(self) -> None:
        now_ms = self.model.now_ms
        if not self.up or now_ms < self.next_ms:
            return
        self.next_ms = now_ms + self.model.random.choice((400, 400, 900))
        self.held = {r: u for r, u in self.held.items() if u > now_ms}
        self.sequence += 1
        beat = fleet_fakes.beat(
            self.sequence,
            instance=f"i-{self.vm}",
            born_ms=self.born,
            held=tuple(self.held),
            released=tuple(self.released),
        )
        self.model.later(0, 60, lambda: self._ask(beat, now_ms))

    def _ask(self, beat: check_in.CheckIn, sent_ms: int) -> None:
        daemon = self.model.daemons[self.vm]
        if not daemon.runs():
            return
        answer = daemon.watch.take(beat)
        low, high = self.model.random.choice(((0, 40), (0, 40), (0, 900)))
        self.model.later(low, high, lambda: self._take(beat, answer, sent_ms))

    def _take(self, beat, answer, sent_ms: int) -> None:
        late = self.model.now_ms - sent_ms > 1000
        same = beat.born_ms == self.born and beat.sequence == self.sequence
        if not self.up or late or not same or answer.grants is None:
            return
        until_ms = sent_ms + answer.hold_ms * self.drift
        wanted = {
            (g.first, g.last, g.generation): until_ms for g in answer.grants
        }
        for first, last, generation in self.held:
            if not any(f <= first and last <= t for f, t, _ in wanted):
                self.released.append((first, last, f"t{generation}"))
                self.next_ms = self.model.now_ms + 100
        self.held = wanted


class _Daemon:
    """Keeps a map and a proof, and answers the target beside it."""

    def __init__(self, model: "_Model", vm: str) -> None:
        self.model = model
        self.vm = vm
        self.frozen_until_ms = 0
        self.up = True
        self.cut_store = False
        self.cut_peers = False
        self.begin()

    def begin(self) -> None:
        self.up = True
        self.began_ms = self.model.now_ms
        self.map = key_map.KeyMap()
        self.lease = proof.ProofLease(clock=self.model.clock)
        self.watch = target_watch.TargetWatch(
            lease=self.lease,
            key_map=lambda: self.map,
            max_hold_ms=10_000,
            clock=self.model.clock,
            changed=lambda: None,
        )
        self.revoking: dict[tuple[str, int], int] = {}

    def runs(self) -> bool:
        return self.up and self.model.now_ms >= self.frozen_until_ms

    def adopt(self, value: key_map.KeyMap, read_ms: int) -> None:
        if not self.runs():
            return
        if value.version > self.map.version:
            self.map = value
        self.lease.offer(
            proof.Proof(value.version, read_ms * _NS),
            map_version=self.map.version,
        )

    def step(self) -> None:
        if not self.runs():
            return
        self.watch.look()
        beside = self.model.targets[self.vm]
        if not beside.up and self.model.random.random() < 0.2:
            self.watch.refused()
        if self.model.random.random() < STEP_MS / 700:
            self._read_store()
        if self.model.random.random() < STEP_MS / 400:
            self._ask_peer()

    def _read_store(self) -> None:
        if self.cut_store or self.model.store_down:
            return
        asked_ms = self.model.now_ms
        born = self.began_ms

        def read() -> None:
            found = self.model.stored
            self.model.later(
                0,
                400,
                lambda: born == self.began_ms and self.adopt(found, asked_ms),
            )

        self.model.later(0, 200, read)

    def _ask_peer(self) -> None:
        other = self.model.random.choice(list(self.model.daemons.values()))
        if other is self or self.cut_peers or other.cut_peers:
            return
        asked_ms = self.model.now_ms
        born = self.began_ms

        def answer() -> None:
            newest = other.lease.newest
            if not other.runs() or newest is None:
                return
            value = other.map
            age_ms = int(other.lease.age_ms()) + 1

            def take() -> None:
                if born != self.began_ms or not self.runs():
                    return
                if value.version > self.map.version:
                    self.map = value
                self.lease.offer(
                    proof.Proof(newest.version, (asked_ms - age_ms) * _NS),
                    map_version=self.map.version,
                )

            self.model.later(0, 200, take)

        self.model.later(0, 200, answer)

    def report(self) -> range_decisions.Seen:
        beside = self.watch.beside
        settled = self.model.now_ms - self.began_ms > 3000
        if beside is None:
            return fleet_fakes.seen(self.vm, settled=settled)
        target = fleet_fakes.target(
            beside.last.life,
            state=beside.state.value,
            forfeited=beside.forfeited,
            given_back=tuple(
                range_decisions.fleet_messages.GivenBack(
                    r.first, r.last, r.generation, r.token
                )
                for r in beside.given_back
            ),
        )
        return fleet_fakes.seen(self.vm, target, settled=settled)

    def decide(self) -> None:
        """Decides from reports that may be old, and writes on condition."""
        if not self.runs() or self.cut_store or self.model.store_down:
            return
        base = self.model.stored
        self.adopt(base, self.model.now_ms)
        wanted = {
            (h.life, h.since)
            for h in base.holders.values()
            if h.state is key_map.HolderState.REVOKING
        }
        now_ms = self.model.now_ms
        self.revoking = {k: self.revoking.get(k, now_ms) for k in wanted}
        expired = frozenset(
            life
            for (life, _), since_ms in self.revoking.items()
            if now_ms - since_ms > self.model.wait_ms()
        )
        seen = [
            d.report()
            for d in self.model.daemons.values()
            if d is self
            or (d.runs() and not d.cut_peers and not self.cut_peers)
        ]
        if len(seen) < 2:
            return
        draft = range_decisions.decide(
            base,
            fleet_fakes.situation(*self.model.moved(seen), expired=expired),
        )
        if draft is None:
            return

        def write() -> None:
            if self.model.stored.version == base.version:
                self.model.stored = draft

        self.model.later(0, 150, write)


class _Model:
    """All parts on one clock."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = fakes.ManualClock()
        self.now_ms = self.clock.now_ns() // _NS
        self.queue: list[_Later] = []
        self.store_down = False
        self.stored = key_map.KeyMap(1)
        self.stopping = ""
        names = [f"vm{n}" for n in range(VMS)]
        self.daemons = {n: _Daemon(self, n) for n in names}
        self.targets = {n: _Target(self, n) for n in names}

    def wait_ms(self) -> int:
        return proof.revocation_wait_ms()

    def moved(self, seen: list) -> list:
        """Returns the reports with one VM leaving, so that keys move."""
        return [
            dataclasses.replace(
                s,
                report=dataclasses.replace(
                    s.report, stopping=s.report.vm == self.stopping
                ),
            )
            for s in seen
        ]

    def later(self, low_ms: int, high_ms: int, act: object) -> None:
        at_ms = self.now_ms + self.random.randint(low_ms, high_ms)
        self.queue.append(_Later(at_ms, act))

    def run(self, length_ms: int) -> str:
        """Returns what went wrong, empty if nothing did."""
        until_ms = self.now_ms + length_ms
        while self.now_ms < until_ms:
            self.clock.advance(STEP_MS)
            self.now_ms = self.clock.now_ns() // _NS
            self._deliver()
            self._fault()
            for one in (*self.daemons.values(), *self.targets.values()):
                one.step()
            if self.random.random() < STEP_MS / 150:
                self.random.choice(list(self.daemons.values())).decide()
            problem = self._check()
            if problem:
                return problem
        return ""

    def _deliver(self) -> None:
        due = [e for e in self.queue if e.at_ms <= self.now_ms]
        self.queue = [e for e in self.queue if e.at_ms > self.now_ms]
        for entry in due:
            entry.act()

    def _fault(self) -> None:
        if self.random.random() > STEP_MS / 1500:
            return
        vm = self.random.choice(list(self.daemons))
        daemon, target = self.daemons[vm], self.targets[vm]
        kind = self.random.randrange(7)
        if kind == 0 and daemon.up:
            daemon.up = False
            self.later(500, 4000, daemon.begin)
        elif kind == 1 and target.up:
            target.up = False
            self.later(500, 4000, target.begin)
        elif kind == 2:
            daemon.frozen_until_ms = self.now_ms + self.random.randint(
                500, 9000
            )
        elif kind == 3:
            self._for_a_while(daemon, "cut_store")
        elif kind == 4:
            self._for_a_while(daemon, "cut_peers")
        elif kind == 5:
            self._for_a_while(self, "store_down")
        else:
            self.stopping = self.random.choice(("", vm))

    def _for_a_while(self, thing: object, fault: str) -> None:
        setattr(thing, fault, True)
        self.later(500, 9000, lambda: setattr(thing, fault, False))

    def _check(self) -> str:
        for key in PROBED_KEYS:
            held = [
                (t.vm, t.holds(key))
                for t in self.targets.values()
                if t.up and t.holds(key)
            ]
            if len(held) > 1:
                return f"key {key} at {held}, {self.now_ms} ms"
        return ""


class KeyModelTest(unittest.TestCase):
    """Random days, with all mechanisms and with one off."""

    def test_no_key_has_two_holders(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(_Model(seed).run(LENGTH_MS), "")

    def test_keys_are_held_and_move_at_all(self):
        versions = []
        for seed in range(5):
            model = _Model(seed)
            model.run(LENGTH_MS)
            versions.append(model.stored.version)
        self.assertGreater(min(versions), 10)
        self.assertGreater(max(versions), 20)

    def _fails(self) -> bool:
        return any(_Model(seed).run(LENGTH_MS) for seed in range(SEEDS_TO_FAIL))

    def test_it_fails_if_revocations_do_not_wait(self):
        with mock.patch.object(_Model, "wait_ms", return_value=2000):
            self.assertTrue(self._fails())

    def test_it_fails_if_a_frozen_daemon_counts_only_its_own_time(self):
        with mock.patch.object(proof.ProofLease, "left_ms", return_value=5000):
            self.assertTrue(self._fails())

    def test_it_fails_if_moving_ranges_are_still_granted(self):
        def given(watch, beside):
            table = watch._key_map().tables.get(beside.last.service)
            if table is None:
                return check_in.CheckInAnswer()
            rows = tuple(
                check_in.GrantedRange(r.first, r.last, r.generation, r.token)
                for r in table.held_by(beside.last.life)
            )
            return check_in.CheckInAnswer(rows, watch._lease.left_ms())

        def back(watch, beside):
            table = watch._key_map().tables.get(beside.last.service)
            return tuple(
                r
                for r in (table.held_by(beside.last.life) if table else ())
                if r.receiver
            )

        with (
            mock.patch.object(target_watch.TargetWatch, "_grant", given),
            mock.patch.object(target_watch.TargetWatch, "_given_back", back),
        ):
            self.assertTrue(self._fails())

    def test_it_fails_if_a_revoked_holder_is_still_granted_to(self):
        with mock.patch.object(target_watch, "_is_revoked", return_value=False):
            self.assertTrue(self._fails())
