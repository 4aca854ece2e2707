"""Finds the route of a request, unless the plan may be too old to tell.

A plan takes effect on all VMs within a time after the store has confirmed it.
This daemon's plan is as new as its last confirmation: a question to the store,
asked directly or through other daemons, whose answer showed no newer plan.
Older knowledge than that time may miss a route, so a request without a route is
refused for now, not for good. A request with a route is still routed: most
plans change few routes, and no plan is confirmed while the store is down. The
VM that it is forwarded to refuses it if a newer plan routes it elsewhere.
"""

import logging

from primrosecross.domain.membership import fleet_state
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request_messages
from primrosecross.domain.requests import routes
from primrosecross.ports import clock as clock_port

RETRY_AFTER_MS = 500
MOVE_GRACE_MS = 1000  # in which other daemons get the plan too
_NS_PER_MS = 1_000_000

_logger = logging.getLogger(__name__)


class RouteLookup:
    """Routes requests by the plan in force on this VM.

    Args:
        state: Holds the plan.
        clock: Clock that includes time spent suspended.
        in_force_ms: Time within which a confirmed plan takes effect.
    """

    def __init__(
        self,
        *,
        state: fleet_state.FleetState,
        clock: clock_port.Clock,
        in_force_ms: int,
    ) -> None:
        self._state = state
        self._clock = clock
        self.in_force_ms = in_force_ms
        self._started_ns = clock.now_ns()
        self._revision = 0
        self._changed_ns = 0
        state.subscribe(self._note_change)

    def _note_change(self) -> None:
        if self._state.plan_revision != self._revision:
            self._revision = self._state.plan_revision
            self._changed_ns = self._clock.now_ns()

    def plan_age_ms(self) -> int:
        """Returns the time since the plan was known to be the newest."""
        age_ns = self._clock.now_ns() - self._state.plan_confirmed_ns
        return age_ns // _NS_PER_MS

    def lacks_confirmation(self) -> bool:
        """Returns whether nobody has confirmed the plan for too long.

        After a start, others have time to do so.
        """
        since_ns = max(self._state.plan_confirmed_ns, self._started_ns)
        waited_ns = self._clock.now_ns() - since_ns
        return waited_ns > self.in_force_ms * _NS_PER_MS

    def find(
        self, host: str, path: str, request_id: str
    ) -> routes.Route | outcome.NotRun:
        """Returns the route of a request, or why there is none."""
        plan = self._state.plan
        if plan is None:
            return outcome.NotRun(
                outcome.Reason.NO_OWNER,
                "no route plan has been received yet",
                RETRY_AFTER_MS,
            )
        route = plan.match(host, path)
        if route is not None:
            return route
        age_ms = self.plan_age_ms()
        _logger.info(
            "no route matches in plan %d, which was the newest %d ms ago",
            plan.version,
            age_ms,
            extra={"request_id": request_id},
        )
        if age_ms > self.in_force_ms:
            return outcome.NotRun(
                outcome.Reason.PLAN_UNCONFIRMED,
                f"no route matches in a plan that was the newest {age_ms} ms "
                "ago",
                RETRY_AFTER_MS,
            )
        return outcome.NotRun(
            outcome.Reason.UNKNOWN_SERVICE,
            "no route matches the host and path",
        )

    def refuse_moved(
        self, forward: request_messages.Forward
    ) -> outcome.NotRun | None:
        """Refuses a request that the sender's older plan routed here.

        Until this plan has been in force for MOVE_GRACE_MS, the sender's may
        be as well.
        """
        plan = self._state.plan
        if plan is None or not 0 < forward.plan_revision < plan.revision:
            return None
        in_force_ns = self._clock.now_ns() - self._changed_ns
        if in_force_ns < MOVE_GRACE_MS * _NS_PER_MS:
            return None
        route = plan.match(_host(forward), forward.path.partition("?")[0])
        if route is not None and forward.service in {
            share.service for share in route.shares
        }:
            return None
        _logger.warning(
            "refused a request that plan %d routes elsewhere",
            plan.version,
            extra={
                "request_id": forward.request_id,
                "service": forward.service,
            },
        )
        return outcome.NotRun(
            outcome.Reason.PLAN_UNCONFIRMED,
            f"plan {plan.version} routes the request elsewhere",
            RETRY_AFTER_MS,
        )


def _host(forward: request_messages.Forward) -> str:
    """Returns the host in a request's headers, in lower case without port."""
    hosts = (value for name, value in forward.headers if name.lower() == "host")
    return next(hosts, "").lower().partition(":")[0]
