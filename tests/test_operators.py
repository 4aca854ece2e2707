"""Plans, undo, access control, settings, metrics and logs for operators."""

import io
import json
import logging
import pathlib
import tempfile
import unittest
import unittest.mock

from prometheus_client import parser

from primrosecross.adapters import json_log
from primrosecross.adapters import object_repository
from primrosecross.adapters import operator_access
from primrosecross.adapters.http import metrics_http
from primrosecross.adapters.peers import peer_codec
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stamp
from primrosecross.domain.membership import lease
from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import state
from primrosecross.domain.operators import events
from primrosecross.domain.operators import meter
from primrosecross.domain.operators import operations
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.operators import plan
from primrosecross.domain.operators import status
from primrosecross.domain.ownership import assignment
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import quarantine
from primrosecross.domain.requests import request
from primrosecross.models import plan as plan_model
from primrosecross.models import settings
from primrosecross.rpc import operator_pb2
from tests import fakes

ROOT = pathlib.Path(__file__).parents[1]
EXAMPLE = json.loads((ROOT / "examples/brno/plan.json").read_text())
SETTINGS = json.loads(
    (ROOT / "examples/brno/settings/rezervace-1.json").read_text()
)
SECRET = "marked-private-text"


def _plan(version: int, *, author: str, timeout_ms: int) -> plan.Plan:
    document = json.loads(json.dumps(EXAMPLE))
    document["services"][0]["timeout_ms"] = timeout_ms
    data = json.dumps(document).encode()
    return plan_model.parse(data, version=version, author=author)


def _timeline(vm: str, clock: fakes.ManualClock) -> events.Timeline:
    stamps = stamp.StampClock(clock=clock)
    return events.Timeline(vm=vm, clock=clock, stamps=stamps)


class UnreachableCoordinator:
    """A client whose coordinator is unreachable."""

    def call_coordinator(self, message: messages.Message, *, timeout_ms: int):
        """Raises errors.MessageNotSentError."""
        raise errors.MessageNotSentError("no coordinator", remedy="wait")


class PlanTest(unittest.TestCase):
    """Plans in an in-memory store."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        timeline = _timeline("a", self.clock)
        self.repository = object_repository.ObjectRepository(
            store=fakes.MemoryStore()
        )
        daemon_state = state.ClusterState(vm="a", timeline=timeline)
        peers = fakes.MemoryPeers()
        self.operations = operations.Operations(
            vm="a",
            state=daemon_state,
            repository=self.repository,
            coordinator_client=UnreachableCoordinator(),
            peers=peers,
            local_probe=lambda _: None,
            timeline=timeline,
            quarantine=quarantine.Quarantine(
                vm="a",
                members=lambda: daemon_state.assignment.members,
                peers=peers,
                clock=self.clock,
                timeline=timeline,
            ),
        )

    def _apply(self, version: int, author: str, timeout_ms: int) -> list[str]:
        return self.operations.apply_plan(
            _plan(version, author=author, timeout_ms=timeout_ms)
        )

    def test_conflict_lists_authors_and_changes(self):
        self._apply(1, "petra", 5000)
        self._apply(2, "ravi", 3000)
        with self.assertRaises(errors.PlanConflictError) as caught:
            self._apply(2, "petra", 4000)
        text = str(caught.exception)
        self.assertIn("version 2 by ravi", text)
        self.assertIn("rezervace: timeout_ms 5000 -> 3000", text)
        self.assertIn("--expected-version 2", text)
        self.assertEqual(self.operations.read_stored_plan().author, "ravi")

    def test_dry_run_changes_nothing(self):
        self._apply(1, "petra", 5000)
        changes = self.operations.preview_plan(
            _plan(2, author="ravi", timeout_ms=1000)
        )
        self.assertEqual(
            changes, ["~ service rezervace: timeout_ms 5000 -> 1000"]
        )
        self.assertEqual(self.operations.read_stored_plan().version, 1)

    def test_replaced_plans_are_retained_up_to_limit(self):
        for version in range(1, 21):
            self._apply(version, "petra", 1000 + version)
        self.assertEqual(
            [p.version for p in self.operations.list_plans()],
            list(range(20, 11, -1)),
        )
        past = self.operations.get_plan(12)
        self.assertEqual(past.services["rezervace"].timeout_ms, 1012)
        with self.assertRaises(errors.NotFoundError):
            self.operations.get_plan(11)

    def test_late_writer_does_not_replace_newer_past_plan(self):
        newer = 1 + object_repository.MAX_PAST_PLANS
        self.repository.save_past_plan(
            _plan(newer, author="ravi", timeout_ms=2000)
        )
        self.repository.save_past_plan(
            _plan(1, author="petra", timeout_ms=1000)
        )
        self.assertEqual(self.repository.read_past_plan(newer).author, "ravi")

    def test_invalid_plan_error_names_field(self):
        with self.assertRaisesRegex(errors.PlanError, "services"):
            plan_model.parse(b'{"places": []}', version=1, author="")


class StatusTest(unittest.TestCase):
    """Views of members and shards."""

    def test_imbalance_and_probed_members(self):
        offer = assignment.Offer("s", 10, True)
        members = {
            vm: assignment.Member(vm, "p", "r", "", "", 1, (), offers=(offer,))
            for vm in ("a", "b")
        }
        table = assignment.OwnerTable.empty("s", 4)
        for shard, vm in enumerate(("a", "a", "a", "b")):
            table.set_owner(shard, vm, 1)
        current = assignment.Assignment(1, members, {"s": table})
        stale = member_messages.Confirm("b", 0, 1, 7, ())
        view = status.cluster_view(
            current, operator_messages.Confirmed("a", (stale,))
        )
        self.assertAlmostEqual(view.services[0].imbalance, 1.5)
        self.assertEqual([m.shards for m in view.members], [3, 1])
        self.assertEqual(view.members[1].plan_version, 0)
        lost = errors.ReplyLostError("no answer", remedy="check")
        probed = status.with_probe_reply(view.members[1], lost)
        self.assertEqual(probed.problem, "no answer")


class AccessTest(unittest.TestCase):
    """Tokens by role; changed token files are reloaded."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.read = pathlib.Path(directory.name) / "read"
        self.write = pathlib.Path(directory.name) / "write"
        self.read.write_text("reader-1\nreader-2\n")
        self.write.write_text("writer\n")
        files = operator_access.AccessFiles(self.read, self.write)
        self.access = operator_access.Access(files)

    def test_roles(self):
        roles = [
            self.access.role_of(token)
            for token in ("reader-1", "reader-2", "writer", "", "reader")
        ]
        read, write = operator_access.Role.READ, operator_access.Role.WRITE
        self.assertEqual(roles, [read, read, write, None, None])

    def test_replaced_tokens_take_effect_immediately(self):
        self.assertIsNotNone(self.access.role_of("writer"))
        self.write.write_text("new-writer\n")
        self.assertIsNone(self.access.role_of("writer"))
        self.assertIsNotNone(self.access.role_of("new-writer"))

    def test_unreadable_file_denies_all_tokens(self):
        self.write.unlink()
        with self.assertLogs(level="ERROR") as logs:
            self.assertIsNone(self.access.role_of("writer"))
        self.assertNotIn("reader-1", "".join(logs.output))
        self.assertFalse(self.access.allows_anonymous)

    def test_each_rpc_method_has_a_role(self):
        service = operator_pb2.DESCRIPTOR.services_by_name["Operator"]
        self.assertEqual(
            {m.name for m in service.methods},
            set(operator_access.ROLE_OF_METHOD),
        )


class SettingsTest(unittest.TestCase):
    """The settings file."""

    def _load(self, **changes: object) -> settings.Settings:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(SETTINGS | changes, file)
            file.flush()
            return settings.load(pathlib.Path(file.name))

    def test_committed_schema_is_current(self):
        committed = (ROOT / "docs/settings.schema.json").read_text()
        self.assertEqual(
            committed, settings.schema(), "run primrosecrossd --schema"
        )

    def test_addresses_are_loopback_by_default(self):
        loaded = self._load(operator={"port": 1}, caller={"port": 2})
        self.assertEqual(loaded.operator.address, "127.0.0.1:1")
        self.assertEqual(loaded.caller.address, "127.0.0.1:2")

    def test_open_operator_port_is_refused_off_loopback(self):
        operator = {"host": "10.0.0.1", "port": 1}
        with self.assertRaisesRegex(errors.SettingsError, "write_token_file"):
            self._load(operator=operator)
        files = dict.fromkeys(
            ("write_token_file", "certificate_file", "key_file"), "/x"
        )
        self._load(operator=operator | files)

    def test_unknown_field_error_names_field_and_remedy(self):
        with self.assertRaisesRegex(errors.SettingsError, "slotz.*--schema"):
            self._load(slotz=3)


class FixedOutcomeRouter:
    """Returns the same outcome for all requests."""

    def __init__(self, result: outcome.Outcome) -> None:
        self.result = result

    def route(self, req: request.Request) -> outcome.Outcome:
        """Returns the outcome."""
        del req
        return self.result


class MeterTest(unittest.TestCase):
    """Metrics and log lines of requests."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        timeline = _timeline("a", self.clock)
        self.state = state.ClusterState(vm="a", timeline=timeline)
        self.state.update_plan(_plan(3, author="petra", timeout_ms=5000))
        self.meter = meter.Meter(timeline=timeline)

    def _route(self, result: outcome.Outcome, service: str) -> None:
        router = meter.MeteredRouter(
            router=FixedOutcomeRouter(result),
            state=self.state,
            meter=self.meter,
            clock=self.clock,
        )
        router.route(
            request.Request(
                request_id="id-7",
                service=service,
                key=SECRET,
                method="POST",
                path=f"/{SECRET}",
                headers=(("Authorization", SECRET),),
                body=SECRET.encode(),
                idempotent=False,
                deadline_ns=0,
            )
        )

    def test_metrics_use_prometheus_text_format(self):
        self._route(outcome.Answered(200, (), b""), "rezervace")
        refusal = outcome.NotRun(outcome.Reason.OVERLOADED, SECRET)
        self._route(refusal, "rezervace")
        self._route(refusal, SECRET)
        collector = metrics_http.DaemonCollector(
            meter=self.meter,
            state=self.state,
            lease=lease.Lease(clock=self.clock, timing=lease.LeaseTiming()),
            election=unittest.mock.Mock(is_coordinator=True),
            executor=unittest.mock.Mock(in_flight=lambda: 2),
            counters={"store_calls": ("Calls.", lambda: 5)},
            peer_counts={"calls_lost/peer-silent": 4, "answers_late": 1},
        )
        text = metrics_http.Metrics(collector).text().decode()
        samples = {
            (s.name, s.labels.get("service"), s.labels.get("reason")): s.value
            for family in parser.text_string_to_metric_families(text)
            for s in family.samples
        }
        name = "primrosecross_requests_total"
        self.assertEqual(samples[name, "rezervace", ""], 1)
        self.assertEqual(samples[name, "rezervace", "overloaded"], 1)
        self.assertEqual(samples[name, "", "overloaded"], 1)
        self.assertEqual(samples["primrosecross_plan_version", None, None], 3)
        self.assertEqual(
            samples["primrosecross_store_calls_total", None, None], 5
        )
        self.assertIn(
            'peer_events_total{cause="peer-silent",kind="calls_lost"} 4.0', text
        )
        self.assertIn(
            'peer_events_total{cause="",kind="answers_late"} 1.0', text
        )
        self.assertNotIn(SECRET, text)

    def test_log_lines_identify_requests_by_id_and_key_hash(self):
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        handler.setFormatter(json_log.JsonFormatter(vm="a"))
        logger = logging.getLogger("primrosecross.domain.operators.meter")
        logger.addHandler(handler)
        self.addCleanup(logger.removeHandler, handler)
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel("DEBUG")
        for result in (
            outcome.Answered(200, (), SECRET.encode()),
            outcome.NotRun(outcome.Reason.TARGET_REFUSED, SECRET),
            outcome.Unknown(outcome.Reason.ANSWER_LOST, SECRET),
        ):
            self._route(result, "rezervace")
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual(
            [line["level"] for line in lines], ["DEBUG", "INFO", "WARNING"]
        )
        expected = f"{assignment.hash_key('rezervace', SECRET):016x}"
        self.assertEqual({line["key_hash"] for line in lines}, {expected})
        self.assertEqual({line["request_id"] for line in lines}, {"id-7"})
        self.assertNotIn(SECRET, stream.getvalue())

    def test_decode_error_omits_frame_content(self):
        frame = peer_codec.encode(
            peer_codec.Frame(1, False, 1, operator_messages.Drain([SECRET]))
        )
        with self.assertRaises(errors.PeerProtocolError) as caught:
            list(peer_codec.Decoder().feed(frame))
        self.assertNotIn(SECRET, str(caught.exception))


class LogLimitTest(unittest.TestCase):
    """Rate limit of log lines with the same message."""

    def test_suppressed_lines_are_counted(self):
        now_s = [0.0]
        limit = json_log.RateLimit(
            limits={logging.INFO: 2}, window_s=10, now_s=lambda: now_s[0]
        )

        def filter_line(text: str) -> logging.LogRecord | None:
            record = logging.LogRecord(
                "l", logging.INFO, "", 0, text, ("x",), None
            )
            return record if limit.filter(record) else None

        written = [filter_line("lost %s") for _ in range(5)]
        self.assertEqual(sum(r is not None for r in written), 2)
        self.assertIsNotNone(filter_line("other %s"))
        now_s[0] = 10.0
        self.assertEqual(filter_line("lost %s").suppressed, 3)
