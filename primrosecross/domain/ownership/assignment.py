"""Versioned assignment of shards to members: epochs and owner tables."""

import array
import dataclasses
import enum

import xxhash

KEY_SHARD_BIT = 1 << 63


class MemberState(enum.StrEnum):
    """Lifecycle state of a member."""

    ACTIVE = "active"
    LEAVING = "leaving"
    REVOKING = "revoking"


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A target that runs on a member's VM.

    Attributes:
        service: Name of the service.
        slots: Maximum number of requests the target runs concurrently.
        checks_generation: Whether the target itself rejects requests with an
            outdated generation or an expired lease.
    """

    service: str
    slots: int
    checks_generation: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A daemon admitted to the assignment.

    Attributes:
        vm: Name of its VM.
        place: Availability zone.
        region: Region of the zone.
        peer_address: "ip:port" for other daemons.
        incarnation: ID of the process; a new one for each start.
        epoch: Assignment version that admitted this incarnation.
        witnesses: VMs of which a majority must vote to keep the member's
            lease.
        previous_witnesses: Earlier witnesses that the member may still use;
            empty once it has confirmed the current ones.
        state: Lifecycle state.
        offers: Targets on its VM.
    """

    vm: str
    place: str
    region: str
    peer_address: str
    incarnation: str
    epoch: int
    witnesses: tuple[str, ...]
    previous_witnesses: tuple[str, ...] = ()
    state: MemberState = MemberState.ACTIVE
    offers: tuple[Offer, ...] = ()

    def offers_service(self, service: str) -> bool:
        """Returns whether a target of the service runs on this VM."""
        return any(offer.service == service for offer in self.offers)

    def slots_for(self, service: str) -> int:
        """Returns the total slots of its targets of the service."""
        return sum(o.slots for o in self.offers if o.service == service)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Ownership of one shard.

    Attributes:
        vm: The owner; empty if the shard has none.
        generation: Assignment version of the grant; serves as fencing token.
    """

    vm: str
    generation: int


NO_GRANT = Grant(vm="", generation=0)


@dataclasses.dataclass(slots=True)
class OwnerTable:
    """Owners of one service's shards.

    A shard is either a hash partition or a single key split off from its
    partition (a key shard). The number of a key shard is the hash of the key
    with KEY_SHARD_BIT set.

    Attributes:
        service: Name of the service.
        vms: VM names that owner_index refers to; entry 0 means no owner.
        owner_index: Index into vms for each partition.
        generations: Generation of each partition.
        key_grants: Grants of key shards, by shard.
        moves: Hand-overs in progress: receiving VM by shard.
        pins: VMs that operators pinned keys to, by key shard.
    """

    service: str
    vms: list[str]
    owner_index: array.array
    generations: array.array
    key_grants: dict[int, Grant] = dataclasses.field(default_factory=dict)
    moves: dict[int, str] = dataclasses.field(default_factory=dict)
    pins: dict[int, str] = dataclasses.field(default_factory=dict)
    _shards_by_vm: dict[str, set[int]] | None = dataclasses.field(
        default=None, init=False, repr=False, compare=False
    )
    _vm_indexes: dict[str, int] = dataclasses.field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    @classmethod
    def empty(cls, service: str, partitions: int) -> "OwnerTable":
        """Returns a table in which no partition has an owner."""
        return cls(
            service=service,
            vms=[""],
            owner_index=array.array("H", bytes(2 * partitions)),
            generations=array.array("Q", bytes(8 * partitions)),
        )

    def copy(self) -> "OwnerTable":
        """Returns an independent copy."""
        return OwnerTable(
            service=self.service,
            vms=list(self.vms),
            owner_index=self.owner_index[:],
            generations=self.generations[:],
            key_grants=dict(self.key_grants),
            moves=dict(self.moves),
            pins=dict(self.pins),
        )

    @property
    def partitions(self) -> int:
        """Number of hash partitions."""
        return len(self.owner_index)

    def shard_of(self, key: str) -> int:
        """Returns the shard of a key."""
        return self.shard_of_hash(hash_key(self.service, key))

    def shard_of_hash(self, key_hash: int) -> int:
        """Returns the shard of a key hash."""
        key_shard = key_hash | KEY_SHARD_BIT
        if key_shard in self.key_grants:
            return key_shard
        return key_hash % len(self.owner_index)

    def parent_partition(self, key_shard: int) -> int:
        """Returns the partition that a key shard was split from."""
        return (key_shard & ~KEY_SHARD_BIT) % len(self.owner_index)

    def grant_of(self, shard: int) -> Grant:
        """Returns the grant of a shard, NO_GRANT for an unknown shard."""
        if shard & KEY_SHARD_BIT:
            return self.key_grants.get(shard, NO_GRANT)
        if shard >= len(self.owner_index):
            return NO_GRANT
        return Grant(
            vm=self.vms[self.owner_index[shard]],
            generation=self.generations[shard],
        )

    def set_owner(self, shard: int, vm: str, generation: int) -> None:
        """Grants a shard to a VM and ends its hand-over, if any."""
        shards_by_vm = self.shards_by_vm()
        shards_by_vm.get(self.grant_of(shard).vm, set()).discard(shard)
        shards_by_vm.setdefault(vm, set()).add(shard)
        self.moves.pop(shard, None)
        if shard & KEY_SHARD_BIT:
            self.key_grants[shard] = Grant(vm=vm, generation=generation)
            return
        self.owner_index[shard] = self._index_of(vm)
        self.generations[shard] = generation

    def _index_of(self, vm: str) -> int:
        if not self._vm_indexes:
            self._vm_indexes = {name: i for i, name in enumerate(self.vms)}
        if vm not in self._vm_indexes:
            index = self._free_index()
            if self.vms[index]:  # "" stays at entry 0
                self._vm_indexes.pop(self.vms[index], None)
            self._vm_indexes[vm] = index
            self.vms[index] = vm
        return self._vm_indexes[vm]

    def _free_index(self) -> int:
        """Returns an index into vms that no partition refers to."""
        shards_by_vm = self.shards_by_vm()
        for index, name in enumerate(self.vms):
            if index and all(
                s & KEY_SHARD_BIT for s in shards_by_vm.get(name, ())
            ):
                return index
        self.vms.append("")
        return len(self.vms) - 1

    def split_key(self, key_shard: int) -> None:
        """Splits a key off into a shard of its own, with its partition's grant.

        The owner stays the same, so a daemon that does not know of the split
        yet still forwards the key to the right owner.
        """
        grant = self.grant_of(self.parent_partition(key_shard))
        self.key_grants[key_shard] = grant
        self.shards_by_vm().setdefault(grant.vm, set()).add(key_shard)

    def merge_key(self, key_shard: int, generation: int) -> None:
        """Merges a key shard into its partition; both must have one owner.

        The partition gets a new generation: the key shard may have had a later
        one than the partition, and a target must never see a key's generation
        decrease.
        """
        self.remove_key_shard(key_shard)
        self.generations[self.parent_partition(key_shard)] = generation

    def remove_key_shard(self, key_shard: int) -> None:
        """Removes a key shard, so that the key is part of its partition."""
        grant = self.key_grants.pop(key_shard, NO_GRANT)
        self.shards_by_vm().get(grant.vm, set()).discard(key_shard)
        self.moves.pop(key_shard, None)

    def shards_by_vm(self) -> dict[str, set[int]]:
        """Returns the shards of each VM; "" maps to those without an owner."""
        if self._shards_by_vm is None:
            shards_by_index: list[set[int]] = [set() for _ in self.vms]
            for partition, index in enumerate(self.owner_index):
                shards_by_index[index].add(partition)
            shards_by_vm = dict(zip(self.vms, shards_by_index, strict=True))
            for shard, grant in self.key_grants.items():
                shards_by_vm.setdefault(grant.vm, set()).add(shard)
            self._shards_by_vm = shards_by_vm
        return self._shards_by_vm

    def drop_index(self) -> None:
        """Frees the index of shards_by_vm(); its next call rebuilds it."""
        self._shards_by_vm = None

    def shards_of(self, vm: str) -> list[int]:
        """Returns all shards that a VM owns, sorted."""
        return sorted(self.shards_by_vm().get(vm, ()))


@dataclasses.dataclass(slots=True)
class Assignment:
    """One version of members and owners; versions only increase."""

    version: int = 0
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    tables: dict[str, OwnerTable] = dataclasses.field(default_factory=dict)

    def copy(self) -> "Assignment":
        """Returns an independent copy."""
        return Assignment(
            version=self.version,
            members=dict(self.members),
            tables={name: t.copy() for name, t in self.tables.items()},
        )

    def grant_for(self, service: str, key: str) -> tuple[int, Grant]:
        """Returns the shard of a key and its grant."""
        table = self.tables.get(service)
        if table is None:
            return 0, NO_GRANT
        shard = table.shard_of(key)
        return shard, table.grant_of(shard)


def hash_key(service: str, key: str) -> int:
    """Returns a 63-bit hash of a key within its service."""
    return xxhash.xxh3_64_intdigest(f"{service}/{key}".encode()) & (
        KEY_SHARD_BIT - 1
    )
