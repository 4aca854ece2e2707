"""State of the target on this VM."""

import dataclasses

from primrosecross.domain.ownership import grant_ledger
from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.ownership import (
    target_heartbeat as target_heartbeat_module,
)


@dataclasses.dataclass(slots=True)
class LocalTarget:
    """State of the current incarnation of the local target.

    Attributes:
        last_heartbeat: Its newest heartbeat.
        last_heartbeat_ns: When it was received.
        state: Its current state.
        draining_since_ns: When it started to drain, 0 if it did not.
        granted: Ranges granted in the newest answer that changed them.
        previously_granted: Ranges granted before those.
        granted_applied_ns: When the target has certainly applied granted.
        granted_expiry_ns: When all grants have expired at the latest.
        tokens: Hand-over tokens of the ranges it released, newest last.
        forfeited_version: Grants of generations up to this map version are
            void and not renewed; the target was reported to hold none of them.
        released_ranges: Moving ranges that it has released.
        granted_by_call: Whether calls grant it keys, not heartbeat answers.
        ledger: What calls granted it.
        must_clear: Whether it may hold keys that were meant for an earlier
            incarnation, and is to release everything first.
        answer_ns: When it last answered a call on a connection that is known
            to be to this incarnation.
        connection: Number of the connection for calls.
        connection_used_ns: When that connection was first used.
    """

    last_heartbeat: target_heartbeat_module.TargetHeartbeat
    last_heartbeat_ns: int
    state: target_heartbeat_module.TargetState
    draining_since_ns: int = 0
    granted: tuple[target_heartbeat_module.GrantedRange, ...] = ()
    previously_granted: tuple[target_heartbeat_module.GrantedRange, ...] = ()
    granted_applied_ns: int = 0
    granted_expiry_ns: int = 0
    tokens: list[target_heartbeat_module.ReleasedRange] = dataclasses.field(
        default_factory=list
    )
    forfeited_version: int = 0
    released_ranges: tuple[key_map_module.KeyRange, ...] = ()
    granted_by_call: bool = False
    ledger: grant_ledger.GrantLedger = dataclasses.field(
        default_factory=grant_ledger.GrantLedger
    )
    must_clear: bool = False
    answer_ns: int = 0
    connection: int = 0
    connection_used_ns: int = 0

    @property
    def may_be_called(self) -> bool:
        """Whether keys are granted by calls, and the target seems to live."""
        return self.granted_by_call and self.state in (
            target_heartbeat_module.TargetState.READY,
            target_heartbeat_module.TargetState.DRAINING,
        )

    def record_answer(self, connection: int, now_ns: int) -> None:
        """Records an answered call as a sign of life.

        An answer on a connection that no heartbeat has followed may be from a
        new incarnation.
        """
        if connection != self.connection:
            self.connection = connection
            self.connection_used_ns = now_ns
        elif self.last_heartbeat_ns > self.connection_used_ns:
            self.answer_ns = now_ns
