"""Reports an owner's load to the coordinator, in small deltas on change."""

import logging
import random

from primrosecross.domain import errors
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.ownership import (
    coordinator_client as coordinator_client_module,
)
from primrosecross.domain.ownership import load_meter
from primrosecross.ports import clock as clock_port

TICK_MS = 1000
REPORT_TIMEOUT_MS = 1000
CLUSTER_BYTES_PER_S = 8000
HEADER_BYTES = 96
ROW_BYTES = 8
MAX_ROWS = 64
REFRESH_MS = 60_000
MIN_CHANGE_OF_RATE = 0.25
MIN_CHANGE_OF_TOTAL = 0.02
DRIFT_SHARE = 0.05
INITIAL_HOT_SHARE = 0.10

_logger = logging.getLogger(__name__)


class _ReportedState:
    """State that the coordinator acknowledged for one service."""

    def __init__(self) -> None:
        self.rates: dict[int, float] = {}
        self.keys: set[int] = set()
        self.next_report_ns = 0
        self.reported_ns = 0
        self.hot_rate = 0.0
        self.coordinator = ""


class LoadReporter:
    """Measures the load of this owner and reports it.

    All members together send the coordinator at most CLUSTER_BYTES_PER_S: each
    delays its next report according to its share of that budget. Only
    newly hot keys are reported without delay.

    Args:
        vm: This VM's name.
        state: Assignment in force on this VM.
        coordinator_client: Calls the coordinator.
        clock: Clock that includes time spent suspended.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.ClusterState,
        coordinator_client: coordinator_client_module.CoordinatorClient,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._state = state
        self._coordinator_client = coordinator_client
        self._clock = clock
        self._meters: dict[str, load_meter.LoadMeter] = {}
        self._reported: dict[str, _ReportedState] = {}

    def record(self, service: str, key_hash: int) -> None:
        """Counts one request for a key."""
        meter = self._meters.get(service)
        if meter is None:
            meter = self._meters.setdefault(service, load_meter.LoadMeter())
        meter.record(key_hash)

    def rate(self) -> float:
        """Returns requests per second of all keys of this owner."""
        return sum(meter.rate() for meter in self._meters.values())

    def run(self) -> None:
        """Measures and reports until the task is killed."""
        last_tick_ns = self._clock.now_ns()
        while True:
            self._clock.sleep(TICK_MS * random.uniform(0.9, 1.1))
            now_ns = self._clock.now_ns()
            self.tick((now_ns - last_tick_ns) / lease_module.NS_PER_MS / 1000)
            last_tick_ns = now_ns

    def tick(self, elapsed_s: float) -> None:
        """Ends a measurement interval and reports changed rates."""
        for service, meter in self._meters.items():
            table = self._state.assignment.tables.get(service)
            if table is None:
                continue
            meter.tick(table, self._vm, elapsed_s)
            report = self._due_report(service, meter)
            if report is not None:
                self._send(report)

    def _due_report(
        self, service: str, meter: load_meter.LoadMeter
    ) -> member_messages.LoadReport | None:
        """Returns the report that is due now, if any."""
        member = self._state.member()
        reported = self._reported.setdefault(service, _ReportedState())
        rates = meter.shard_rates()
        total = sum(rates.values())
        if member is None or not rates:
            return None
        keys = meter.hot_keys(reported.hot_rate or INITIAL_HOT_SHARE * total)
        new_keys = keys.keys() - reported.keys
        now_ns = self._clock.now_ns()
        if not new_keys and now_ns < reported.next_report_ns:
            return None
        rows = _changed_rates(rates, reported.rates)
        refresh_ns = reported.reported_ns + REFRESH_MS * lease_module.NS_PER_MS
        if not rows and keys.keys() == reported.keys and now_ns < refresh_ns:
            return None
        table = self._state.assignment.tables[service]
        no_longer_hot = reported.keys - keys.keys() - table.key_grants.keys()
        rows = [*keys.items(), *((key, 0.0) for key in no_longer_hot), *rows]
        rows = rows[:MAX_ROWS]
        return member_messages.LoadReport(
            vm=self._vm,
            epoch=member.epoch,
            service=service,
            shards=tuple(shard for shard, _ in rows),
            rates=tuple(round(rate) for _, rate in rows),
        )

    def _send(self, report: member_messages.LoadReport) -> None:
        reported = self._reported[report.service]
        members = len(self._state.assignment.members)
        size_bytes = HEADER_BYTES + ROW_BYTES * len(report.shards)
        now_ns = self._clock.now_ns()
        interval_ms = size_bytes * members / CLUSTER_BYTES_PER_S * 1000
        reported.next_report_ns = now_ns + int(
            interval_ms * lease_module.NS_PER_MS
        )
        try:
            ack = self._coordinator_client.call_coordinator(
                report, timeout_ms=REPORT_TIMEOUT_MS
            )
        except (errors.StoreError, errors.PeerError) as error:
            _logger.info("cannot report load to the coordinator: %s", error)
            return
        if isinstance(ack, member_messages.LoadAck):
            self._record_ack(reported, report, ack)

    def _record_ack(
        self,
        reported: _ReportedState,
        report: member_messages.LoadReport,
        ack: member_messages.LoadAck,
    ) -> None:
        if reported.coordinator != ack.coordinator:
            reported.rates.clear()
            reported.keys.clear()
        table = self._state.assignment.tables[report.service]
        reported.coordinator = ack.coordinator
        reported.hot_rate = ack.hot_rate
        reported.reported_ns = self._clock.now_ns()
        rows = dict(zip(report.shards, report.rates, strict=True))
        reported.rates.update(rows)
        owned = set(table.shards_of(self._vm))
        reported.keys = {s for s in rows if s not in owned and rows[s]}
        reported.rates = {s: r for s, r in reported.rates.items() if s in owned}


def _changed_rates(
    rates: dict[int, float], reported: dict[int, float]
) -> list[tuple[int, float]]:
    """Returns shards whose rate changed enough to report, largest change first.

    A rate is reported if it changed by a share of itself and of the total. If
    the total drifted, every shard whose rate changed at all is reported.
    """
    total = sum(rates.values())
    drifted = abs(total - sum(reported.values())) > DRIFT_SHARE * total
    rows = []
    for shard, rate in rates.items():
        previous = reported.get(shard)
        difference = rate if previous is None else abs(rate - previous)
        is_large = difference > MIN_CHANGE_OF_TOTAL * total
        has_changed = is_large and difference > MIN_CHANGE_OF_RATE * rate
        if previous is None or has_changed or (drifted and difference >= 1):
            rows.append((difference, shard, rate))
    rows.sort(reverse=True)
    return [(shard, rate) for _, shard, rate in rows]
