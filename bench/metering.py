"""CPU cost of metering for each request and each scrape."""

import random
import time
from collections.abc import Iterator

from bench import result
from primrosecross.adapters import boot_clock
from primrosecross.adapters.http import metrics_http
from primrosecross.domain import stamp
from primrosecross.domain.membership import lease
from primrosecross.domain.membership import state
from primrosecross.domain.operators import events
from primrosecross.domain.operators import latencies
from primrosecross.domain.operators import meter
from primrosecross.domain.operators import plan
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request

REQUEST_COUNT = 100_000
SERVICE_COUNT = 4
SEED = 7
SCRAPE_COUNT = 20
NS_PER_US = 1000
NS_PER_MS = 1_000_000
REQUESTS_PER_NODE_PER_S = 12_900


class _StubRouter:
    def __init__(self, outcomes: list[outcome.Outcome]) -> None:
        self._outcomes = outcomes
        self._route_count = 0

    def route(self, req: request.Request) -> outcome.Outcome:
        del req
        self._route_count += 1
        return self._outcomes[self._route_count % len(self._outcomes)]


class _IdleStub:
    is_coordinator = False

    def in_flight(self) -> int:
        return 0


def _request(service: str) -> request.Request:
    return request.Request(
        request_id="id",
        service=service,
        key="booking-7",
        method="POST",
        path="/book",
        headers=(),
        body=b"",
        idempotent=False,
        deadline_ns=0,
    )


def _time_per_request_ns(
    router: meter.RequestRouter, requests: list[request.Request]
) -> float:
    started_ns = time.process_time_ns()
    for number in range(REQUEST_COUNT):
        router.route(requests[number % len(requests)])
    return (time.process_time_ns() - started_ns) / REQUEST_COUNT


def run() -> Iterator[result.Result]:
    """Yields the cost of one request, one recorded latency and one scrape."""
    clock = boot_clock.BootClock()
    timeline = events.Timeline(
        vm="a", clock=clock, stamps=stamp.StampClock(clock=clock)
    )
    daemon_state = state.ClusterState(vm="a", timeline=timeline)
    service_names = [f"service-{number}" for number in range(SERVICE_COUNT)]
    daemon_state.plan = plan.Plan(1, "", {}, dict.fromkeys(service_names))
    sample_outcomes = [
        outcome.Answered(200, (), b""),
        outcome.Answered(200, (), b""),
        outcome.NotRun(outcome.Reason.OVERLOADED, ""),
    ]
    request_meter = meter.Meter(timeline=timeline)
    stub_router = _StubRouter(sample_outcomes)
    metered_router = meter.MeteredRouter(
        router=stub_router, state=daemon_state, meter=request_meter, clock=clock
    )
    requests = [_request(name) for name in service_names]
    cost_us = (
        _time_per_request_ns(metered_router, requests)
        - _time_per_request_ns(stub_router, requests)
    ) / (NS_PER_US)
    core_share = cost_us * REQUESTS_PER_NODE_PER_S / 1_000_000
    note = (
        f"{REQUEST_COUNT} requests, {SERVICE_COUNT} services, one third refused"
    )
    yield result.Result("metering.request", cost_us, "us", note=note)
    yield result.Result(
        "metering.share_of_a_core",
        core_share,
        "1",
        note=f"at {REQUESTS_PER_NODE_PER_S} requests/s",
    )
    yield _measure_latencies()
    yield _measure_scrape(request_meter, daemon_state, clock)


def _measure_latencies() -> result.Result:
    """Returns the cost of recording one of many different latencies."""
    rng = random.Random(SEED)
    values_ns = [
        int(rng.lognormvariate(1, 0.8) * NS_PER_MS)
        for _ in range(REQUEST_COUNT)
    ]
    recorded_latencies = latencies.Latencies()
    started_ns = time.process_time_ns()
    for value_ns in values_ns:
        recorded_latencies.record(value_ns)
    recorded_latencies.cumulative_counts()
    cost_us = (time.process_time_ns() - started_ns) / REQUEST_COUNT / NS_PER_US
    note = f"{REQUEST_COUNT} of 1 to 30 ms, seed {SEED}"
    return result.Result("metering.latency", cost_us, "us", note=note)


def _measure_scrape(
    request_meter: meter.Meter,
    daemon_state: state.ClusterState,
    clock: boot_clock.BootClock,
) -> result.Result:
    metrics = metrics_http.Metrics(
        metrics_http.DaemonCollector(
            meter=request_meter,
            state=daemon_state,
            lease=lease.Lease(clock=clock, timing=lease.LeaseTiming()),
            election=_IdleStub(),
            executor=_IdleStub(),
            counters={},
        )
    )
    started_ns = time.process_time_ns()
    for _ in range(SCRAPE_COUNT):
        text = metrics.text()
    took_ms = (time.process_time_ns() - started_ns) / SCRAPE_COUNT / NS_PER_MS
    return result.Result(
        "metering.scrape", took_ms, "ms", note=f"{len(text)} bytes"
    )
