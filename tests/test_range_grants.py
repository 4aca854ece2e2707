"""All key ranges of a target are granted, whatever their number."""

import dataclasses
import unittest

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import proof
from primrosecross.domain.ownership import range_decisions
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.ownership import target_watch
from primrosecross.platform import heartbeat_http
from tests import fakes
from tests import fleet_fakes

_LAST = key_map.LAST_KEY
TOKEN = "7a21d94b36f85c0e"
GENERATION = 1_000_000


def _ranges(count: int, holders: list[str]) -> list[key_map.KeyRange]:
    size = (_LAST + 1) // count
    return [
        key_map.KeyRange(
            n * size,
            n * size + size - 1 if n < count - 1 else _LAST,
            holders[n % len(holders)],
            GENERATION + n,
            TOKEN,
        )
        for n in range(count)
    ]


class AnswerTest(unittest.TestCase):
    """Answers to the heartbeats of a target with many ranges."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.clock.advance(100)
        self.sequence = 0

    def _watch(
        self, ranges: list[key_map.KeyRange]
    ) -> target_watch.TargetWatch:
        new_map = fleet_fakes.make_map(
            *ranges,
            version=2 * GENERATION,
            vms={r.holder: r.holder for r in ranges},
        )
        lease = proof.ProofLease(clock=self.clock)
        lease.record_proof(
            proof.Proof(new_map.version, self.clock.now_ns()),
            map_version=new_map.version,
        )
        return target_watch.TargetWatch(
            lease=lease,
            key_map=lambda: new_map,
            max_hold_ms=10_000,
            clock=self.clock,
            on_change=lambda: None,
        )

    def _beat(
        self,
        watch: target_watch.TargetWatch,
        held: tuple[tuple[int, int, int], ...] = (),
    ) -> tuple[target_heartbeat.GrantedRange, ...]:
        self.sequence += 1
        answer = watch.handle_heartbeat(
            fleet_fakes.heartbeat(self.sequence, held=held)
        )
        reply = heartbeat_http._to_reply(answer)
        self.assertLessEqual(len(reply.body), heartbeat_http.MAX_RESPONSE_BYTES)
        self.assertEqual(reply.body.count(b"["), len(answer.grants) + 1)
        return answer.grants

    def test_as_many_ranges_are_granted_as_fit(self):
        watch = self._watch(_ranges(90, ["i-1@1000"]))
        self.assertEqual(len(self._beat(watch)), 90)

    def test_more_are_granted_once_tokens_have_been_used(self):
        watch = self._watch(_ranges(140, ["i-1@1000"]))
        held: tuple[tuple[int, int, int], ...] = ()
        for _ in range(6):
            granted = self._beat(watch, held)
            self.assertLessEqual(
                set(held),
                {(g.first, g.last, g.generation) for g in granted},
            )
            held = tuple((g.first, g.last, g.generation) for g in granted)
        self.assertEqual(len(held), 140)

    def test_what_is_held_stays_granted_beyond_the_limit(self):
        ranges = _ranges(600, ["i-1@1000"])
        held = tuple((r.first, r.last, r.generation) for r in ranges[-100:])
        granted = self._beat(self._watch(ranges), held)
        self.assertLessEqual(
            set(held), {(g.first, g.last, g.generation) for g in granted}
        )


class ManyRangesTest(unittest.TestCase):
    """The next map of one with many ranges can be granted in full."""

    def test_ranges_that_are_handed_to_the_last_target_are_joined_at_once(self):
        """Seven of eight targets leave and release all that they hold."""
        lives = [f"i-{n}@1000" for n in range(8)]
        ranges = [
            dataclasses.replace(
                r, receiver="" if r.holder == lives[0] else lives[0]
            )
            for r in _ranges(320, lives)
        ]
        current = fleet_fakes.make_map(
            *ranges,
            version=2 * GENERATION,
            vms={life: f"vm-{life}" for life in lives},
        )
        views = [
            fleet_fakes.vm_view(f"vm-{lives[0]}", fleet_fakes.target(lives[0]))
        ]
        views += [
            fleet_fakes.vm_view(
                f"vm-{life}",
                fleet_fakes.target(
                    life,
                    state="draining",
                    given_back=tuple(
                        fleet_messages.GivenBack(
                            r.first, r.last, r.generation, TOKEN
                        )
                        for r in ranges
                        if r.holder == life
                    ),
                ),
            )
            for life in lives[1:]
        ]
        new_map = range_decisions.decide(
            current,
            fleet_fakes.decision_inputs(*views, movable_version=GENERATION),
        )
        self.assertEqual(len(new_map.tables["desk"].ranges), 1)
        self.assertEqual(new_map.tables["desk"].find(0).holder, lives[0])
