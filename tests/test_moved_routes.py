"""Requests that reach a VM after the plan has moved their route elsewhere."""

import unittest

from primrosecross.domain import fleet_node
from primrosecross.domain import stamp
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.membership import membership
from primrosecross.domain.operators import events
from primrosecross.domain.requests import forwards
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request_messages
from primrosecross.domain.requests import route_lookup
from primrosecross.domain.requests import routes
from primrosecross.domain.requests import target_balancer
from primrosecross.ports import fleet_repository
from tests import fakes
from tests import fleet_fakes


def _document(revision: int, service: str) -> fleet_repository.PlanDocument:
    """Returns a plan that routes "h.example/a/" to a service."""
    route = fleet_fakes.route(shares=(routes.Share(service, 1),))
    plan = routes.RoutePlan(
        revision=revision,
        version=revision,
        routes={route.host: {route.prefix: route}},
        services={service: routes.RoutedService(service, False)},
        limits=routes.CallerLimits(1, 1, 1, 1),
    )
    return fleet_repository.PlanDocument(plan, b"{}")


class MovedRouteTest(unittest.TestCase):
    """A VM of the service that had the route until plan 2 (config_change)."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.state = fleet_state.FleetState()
        self.lookup = route_lookup.RouteLookup(
            state=self.state, clock=self.clock, in_force_ms=2500
        )
        self.state.update_plan(_document(1, "desk"))
        self.clock.advance(10_000)

    def _forward(
        self, plan_revision: int, path: str = "/a/b?c=/x/"
    ) -> request_messages.Forward:
        req = fleet_fakes.make_request(
            headers=(("Host", "H.example:80"),), path=path
        )
        return forwards.to_message(
            req, timeout_ms=1000, plan_revision=plan_revision
        )

    def _reason(self, **fields: object) -> outcome.Reason | None:
        refusal = self.lookup.refuse_moved(self._forward(**fields))
        return None if refusal is None else refusal.reason

    # A daemon that did not get a new plan in time has requests run by the
    # service that no longer has their route.
    def test_request_routed_by_an_old_plan_is_refused_where_it_arrives(self):
        self.state.update_plan(_document(2, "files"))
        self.clock.advance(route_lookup.MOVE_GRACE_MS)
        refused = outcome.Reason.PLAN_UNCONFIRMED
        self.assertIs(self._reason(plan_revision=1), refused)
        self.assertIsNone(self._reason(plan_revision=2))
        self.assertIsNone(self._reason(plan_revision=0))

    def test_request_of_a_dropped_route_is_refused(self):
        self.state.update_plan(_document(2, "desk"))
        self.clock.advance(route_lookup.MOVE_GRACE_MS)
        self.assertIsNone(self._reason(plan_revision=1))
        self.assertIs(
            self._reason(plan_revision=1, path="/gone/b"),
            outcome.Reason.PLAN_UNCONFIRMED,
        )

    def test_old_plan_counts_until_others_have_had_time_to_get_the_new_one(
        self,
    ):
        self.state.update_plan(_document(2, "files"))
        self.clock.advance(route_lookup.MOVE_GRACE_MS - 1)
        self.state.confirm_plan(2, self.clock.now_ns())
        self.assertIsNone(self._reason(plan_revision=1))

    def test_receiver_with_an_older_plan_accepts(self):
        self.assertIsNone(self._reason(plan_revision=3))


class BalancerTest(unittest.TestCase):
    """The daemon whose plan is old, and the refusals that it gets."""

    # A healthy target was left out for up to 2.4 s by each such refusal.
    def test_refusal_by_a_newer_plan_says_nothing_of_the_target(self):
        balancer = target_balancer.TargetBalancer(
            place="z", clock=fakes.ManualClock()
        )
        entry = fleet_messages.VmEntry(
            "b", "z", "b:1", "desk", 2, "ready", False
        )
        for reason, is_available in (
            (outcome.Reason.PLAN_UNCONFIRMED, True),
            (outcome.Reason.NO_TARGET, False),
        ):
            balancer.record_start("b")
            balancer.record_end("b", outcome.NotRun(reason, ""), 5.0)
            available = balancer.has_available(
                {"b": entry}, "desk", avoid=frozenset()
            )
            self.assertIs(available, is_available, reason)


class NodeTest(unittest.TestCase):
    """A daemon with no target, which would refuse all that gets past."""

    def _reply(self, plan_revision: int) -> request_messages.ForwardNotRun:
        clock = fakes.ManualClock()
        stamps = stamp.StampClock(clock=clock)
        node = fleet_node.FleetNode(
            identity=membership.DaemonIdentity(
                vm="a", place="z", region="", peer_address="", incarnation="1"
            ),
            ports=fleet_node.FleetPorts(
                clock=clock,
                store=fleet_fakes.repository(fleet_fakes.MemoryStore()),
                plans=fleet_fakes.NoPlans(),
                peers=fleet_fakes.Peers(),
                targets=fleet_fakes.Targets(),
                key_calls=None,
            ),
            timeline=events.Timeline(vm="a", clock=clock, stamps=stamps),
            limits=fleet_node.NodeLimits(
                max_hold_ms=4000, drain_ms=2000, plan_in_force_ms=2500
            ),
        )
        node.state.update_plan(_document(2, "files"))
        clock.advance(route_lookup.MOVE_GRACE_MS)
        req = fleet_fakes.make_request(headers=(("host", "h.example"),))
        return node.handle(
            forwards.to_message(
                req, timeout_ms=1000, plan_revision=plan_revision
            )
        )

    def test_daemon_checks_the_routes_of_forwarded_requests(self):
        self.assertEqual(
            self._reply(plan_revision=1).reason,
            outcome.Reason.PLAN_UNCONFIRMED.value,
        )
        self.assertEqual(
            self._reply(plan_revision=2).reason, outcome.Reason.NO_TARGET.value
        )


if __name__ == "__main__":
    unittest.main()
