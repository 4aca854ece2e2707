"""What was said to be unsent is never sent: orders of events, in memory."""

import collections
import itertools
import logging
import random
import unittest

import gevent

from primrosecross.domain.requests import body
from tests import transport_scene

SEED = 34
RANDOM_WALKS = 600
_ORDERED = ("move", "cancel", "deadline", "drain", "go on", "give up")


class UnsentTest(unittest.TestCase):
    """A connection that stands still while calls wait in its queue."""

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class QueuedCallTest(UnsentTest):
    """Calls that end while their messages are queued."""

    def check(self, *events: str, paths: set[str], **options) -> None:
        """Checks which calls are unsent after some events, and stay so."""
        scene = transport_scene.Scene(**options)
        for event in events:
            scene.play(event)
            transport_scene.settle()
        self.assertEqual(scene.promised_paths(), paths)
        scene.end()
        self.assertEqual(scene.headless_pieces(), [])
        reached = set(scene.handled) | scene.sent_paths()
        self.assertEqual(reached & paths, set())

    # Guards against a booking that is answered 503 and runs afterwards.
    def test_unsent_calls_of_a_replaced_connection_are_never_sent(self):
        self.check("cancel", "move", paths={"/streamed", "/booking"})

    def test_unsent_call_whose_deadline_passed_is_never_sent(self):
        self.check("deadline", paths={"/booking"})

    def test_unsent_calls_of_a_silent_peer_are_never_sent(self):
        paths = {"/streamed", "/booking", "/other"}
        self.check("give up", paths=paths)

    def test_unsent_calls_of_a_peer_that_stops_are_never_sent(self):
        paths = {"/streamed", "/booking"}
        self.check("cancel", "drain", paths=paths, has_running_call=True)


class EndedConnectionTest(UnsentTest):
    """A connection that was closed on the side that receives calls."""

    # Guards against a call that runs after it was reported as not received:
    # TLS may hold bytes that it decrypted before the socket was closed.
    def test_bytes_that_come_after_the_close_are_not_handled(self):
        scene = transport_scene.Scene()
        for event in ("cancel", "move", "stall", "call"):
            scene.play(event)
            transport_scene.settle()
        self.assertIn("/later/1", scene.sent_paths())
        scene.close_while_reading()
        scene.play("go on")
        transport_scene.settle()
        scene.end()
        self.assertNotIn("/later/1", scene.handled)


class CancelledCallTest(UnsentTest):
    """Calls that are cancelled while they are on the wire."""

    # Guards against calls that count as in progress for good, as their task
    # ended before it began: a planned stop waits for them.
    def test_call_that_arrives_with_its_cancel_is_not_left_in_progress(self):
        scene = transport_scene.Scene()
        for event in ("cancel", "move", "stall"):
            scene.play(event)
            transport_scene.settle()
        for path, content in (
            ("/short", b""),
            ("/long", body.BufferedStream(bytes(20_000))),
        ):
            scene.start(path, content)
            transport_scene.settle()
            scene.tasks[path].kill(block=False)
            transport_scene.settle()
        scene.play("go on")
        transport_scene.settle()
        in_progress = scene.in_progress()
        scene.end()
        self.assertEqual(in_progress, 0)


class OrderTest(UnsentTest):
    """All orders of events."""

    def walk(
        self, events, *, turns=lambda: transport_scene.SETTLE_TURNS, **options
    ) -> collections.Counter[str]:
        """Plays events in their order; returns how the calls ended."""
        scene = transport_scene.Scene(**options)
        for event in events:
            scene.play(event)
            for _ in range(turns()):
                gevent.sleep(0)
        scene.end()
        self.assertEqual(
            scene.falsely_promised(),
            set(),
            f"{events}, {options}; handled {scene.handled}, "
            f"outcomes {scene.outcomes}",
        )
        self.assertEqual(scene.headless_pieces(), [], f"{events}, {options}")
        return collections.Counter(
            type(result).__name__ for result in scene.outcomes.values()
        )

    def test_no_order_of_events_sends_what_was_said_to_be_unsent(self):
        ends: collections.Counter[str] = collections.Counter()
        for order in itertools.permutations(_ORDERED):
            ends += self.walk(order)
            ends += self.walk(order, has_running_call=True)
        self.assertEqual(
            set(ends), {"Done", "MessageNotSentError", "ReplyLostError"}
        )

    def test_events_in_quick_succession_keep_the_promise(self):
        choice = random.Random(SEED)
        for _ in range(RANDOM_WALKS):
            events = choice.choices(
                list(transport_scene.EVENTS), k=choice.randint(2, 8)
            )
            self.walk(
                events,
                holds_replies=choice.random() < 0.5,
                has_running_call=choice.random() < 0.5,
                turns=lambda: choice.choice(
                    (0, 0, 1, 2, transport_scene.SETTLE_TURNS)
                ),
            )


if __name__ == "__main__":
    unittest.main()
