"""Stand-ins for the platform's store, its servers and its clients.

They speak what PROTOCOL.md says, over loopback, and use the standard library
only. The daemons are separate processes, started with the command of the
deploy file. Everything that is sent, answered and run goes to a record.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 0.87
ANSWER_LIMIT_S = 1.0
RELEASE_S = 0.1
HOST = "desk.example"
SETTINGS = """
Grants = "heartbeat"
[Self]
Node = "{vm}"
Role = "router"
MachineClass = "sidecar"
Serves = ["sidecar"]
Ip = "127.0.0.1"
Zone = "z"
Region = "r"
Bootstrap = true
App = "127.0.0.1:{app}"
Service = "{service}"
[Self.Limits]
CpuShare = 0.86
Cores = 1
MemoryMb = 300
MaxFds = 4100
[Network]
PortRange = [{peer}, {peer}]
Seeds = []
[Network.Listen]
Inbound = "127.0.0.1:{inbound}"
Outbound = "127.0.0.1:{outbound}"
Ready = "127.0.0.1:{ready}"
Control = "127.0.0.1:{control}"
[Platform]
Discovery = "local"
Entry = "local"
HeartbeatMs = 870
[Platform.Platform]
Address = "127.0.0.1:{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
[Terms]
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "own"]
[Terms.Bounds]
ContactWindowMs = 3000
DrainMs = 2000
GraceS = 6
ConfigMs = 2000
HoldMaxMs = 10000
ThawMs = 300
"""


_next_ports = itertools.count(os.getpid() * 101)


def free_ports(count: int) -> list[int]:
    """Returns free loopback ports outside of the ephemeral range."""
    found: list[int] = []
    while len(found) < count:
        port = 10_000 + next(_next_ports) % 12_000
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            found.append(port)
    return found


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", buffering=1)
        self.started_s = time.monotonic()

    def now(self) -> float:
        """Returns the time since the start."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        """Appends one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Reads one HTTP/1.1 message whose body has a length."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return first, headers, body


def encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Returns an HTTP/1.1 message."""
    lines = [first, *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def exchange(
    port: int,
    first: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> tuple[int, dict[str, str], bytes] | None:
    """Sends one request on a new connection; None without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(encode(first, headers, body))
            await writer.drain()
            answer = await read_message(reader)
            if answer is None:
                return None
            return int(answer[0].split()[1]), answer[1], answer[2]
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def serve(port: int, handle) -> asyncio.Server:
    """Serves HTTP/1.1 on a port; `handle` returns the bytes of an answer."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while message := await read_message(reader):
                answer = await handle(*message)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()

    return await asyncio.start_server(run, "127.0.0.1", port, limit=1 << 22)


class Store:
    """The platform's store: linearizable objects with revisions, watches."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.revision = 10
        self.objects: dict[tuple[str, str], dict] = {}
        self.changes: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Starts to listen."""
        await serve(self.port, self._handle)

    async def _handle(self, first: str, headers: dict, body: bytes) -> bytes:
        del headers
        method, target, _ = first.split()
        path, _, query = target.partition("?")
        kind, _, name = path.removeprefix("/api/objects/").partition("/")
        options = dict(
            part.partition("=")[::2] for part in query.split("&") if part
        )
        if method != "GET":
            status, answer = self._write(method, kind, name, json.loads(body))
        elif "Watch" in options:
            status, answer = await self._watch(kind, options)
        elif name:
            stored = self.objects.get((kind, name))
            status, answer = (200, stored) if stored else (404, {})
        else:
            items = [
                o
                for (k, n), o in self.objects.items()
                if k == kind and n > options.get("after", "")
            ]
            answer = {
                "items": items,
                "HasMore": False,
                "CurrentRev": self.revision,
            }
            status = 200
        return encode(
            f"HTTP/1.1 {status} Status",
            {"Content-Type": "application/json"},
            json.dumps(answer).encode(),
        )

    async def _watch(self, kind: str, options: dict) -> tuple[int, dict]:
        since = int(options["Watch"])
        until_s = time.monotonic() + int(options["WaitMs"]) / 1000
        while True:
            events = [
                {"Object": o, "Tombstone": False}
                for revision, k, o in self.changes
                if revision > since and k == kind
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _write(
        self, method: str, kind: str, name: str, document: dict
    ) -> tuple[int, dict]:
        metadata = document.get("Metadata", {})
        name = name or metadata["Name"]
        stored = self.objects.get((kind, name))
        if method == "POST" and stored is not None:
            return 409, stored
        if method == "PUT" and stored is None:
            return 404, {}
        revision = metadata.get("Revision")
        if stored and revision not in (None, stored["Metadata"]["Revision"]):
            return 409, stored
        return 200, self.put(kind, name, document["Spec"])

    def put(self, kind: str, name: str, spec: dict) -> dict:
        """Writes an object, as the operator or a daemon does."""
        stored = self.objects.get((kind, name))
        if stored is not None and stored["Spec"] == spec:
            return stored
        self.revision += 1
        stored = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": 1,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self.objects[kind, name] = stored
        self.changes.append((self.revision, kind, stored))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return stored


def config(
    version: int, keyed: bool, timeout_ms: int, attempts: int, files: int = 0
) -> dict:
    """Returns a config with the service `desk` and, if asked for, `files`."""

    def rule(prefix: str, kind: str, service: str = "desk") -> dict:
        return {
            "Name": prefix,
            "Kind": kind,
            "TargetLatencyMs": 1000,
            "Priority": 1,
            "Match": {"PathPrefix": prefix},
            "Action": {
                "Service": service,
                "TimeoutMs": timeout_ms,
                "MaxAttempts": attempts,
            },
        }

    rules = [rule("/book/", "unsafe"), rule("/look/", "safe")]
    clusters = [{"Name": "desk", "HealthPath": "/healthz"}]
    if keyed:
        clusters[0] |= {"Sharded": True, "WarmS": 2.0}
    if files:
        rules.append(rule("/file/", "upload", "files"))
        clusters.append({"Name": "files", "HealthPath": "/healthz"})
    return {
        "Version": version,
        "Listeners": [{"Host": HOST, "Rules": rules}],
        "Clusters": clusters,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def left_out(first: int, last: int, rows: list) -> list[tuple[int, int]]:
    """Returns the parts of a range that no row covers."""
    parts = [(first, last)]
    for row in rows:
        pieces = [
            piece
            for a, b in parts
            for piece in ((a, min(b, row[0] - 1)), (max(a, row[1] + 1), b))
        ]
        parts = [(a, b) for a, b in pieces if a <= b]
    return parts


class Worker:
    """A server that holds keys, as PROTOCOL.md describes it.

    Its check-ins go out one after the other; an answer counts if it arrives
    within a second. `hold_back` may delay a check-in on its way.
    """

    def __init__(self, vm: "Machine", record: Record) -> None:
        self.vm = vm
        self._record = record
        self.id = f"i-{vm.name}-{os.urandom(3).hex()}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.up = False
        self.sequence = 0
        self.acknowledged = 0
        self.held: list[dict] = []  # first, last, fence, until
        self.freed: list[list] = []
        self.running: dict[str, int] = {}
        self.seen_fence = [0] * 65536 if vm.keyed else []
        # (worker, first, last, fence, from, until) as they ended
        self.spans: list[tuple] = []
        self.runs: list[tuple[str, float, int]] = []
        self.hold_back = None
        self.on_run = None
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._works: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listens, then begins to check in."""
        self._server = await asyncio.start_server(
            self._connection, "127.0.0.1", self.vm.ports["app"], limit=1 << 22
        )
        self.up = True
        self._task = asyncio.create_task(self._check_in_forever())
        self._record.write(f"worker {self.id} starts")

    def crash(self) -> None:
        """Ends at once: all connections are reset, the port is closed."""
        self.up = False
        self._record.write(f"worker {self.id} crashes")
        self._server.close()
        if self._task is not None:
            self._task.cancel()
        for writer in list(self._connections):
            writer.transport.abort()
        for work in list(self._works):
            work.cancel()
        for row in self.held:
            self._end_span(row)
        self.held = []

    def _end_span(self, row: dict) -> None:
        until = min(self._record.now(), row["until"])
        bounds = (row["first"], row["last"], row["fence"])
        self.spans.append((self.id, *bounds, row["since"], until))

    def _drop_expired(self) -> None:
        now = self._record.now()
        for row in [r for r in self.held if r["until"] <= now]:
            self._record.write(
                f"{self.id} hold of {row['first']}-{row['last']} runs out"
            )
            self._end_span(row)
            self.held.remove(row)

    def holds(self, key: int) -> bool:
        """Returns whether it holds a key now."""
        self._drop_expired()
        return any(r["first"] <= key <= r["last"] for r in self.held)

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while message := await read_message(reader):
                # The work goes on if the connection closes: "most", not all,
                # servers drop it.
                work = asyncio.create_task(self._answer(*message))
                self._works.add(work)
                work.add_done_callback(self._works.discard)
                writer.write(await asyncio.shield(work))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, first: str, headers: dict, body: bytes) -> bytes:
        del body
        method, target, _ = first.split()
        request_id = headers.get("request-id", "")
        fields = {"Request-Id": request_id}
        refused = fields | {"Not-Executed": "1"}
        if headers.get("expect-instance", self.id) != self.id:
            return encode("HTTP/1.1 421 Misdirected Request", refused, b"")
        key = headers.get("shard-key", "")
        if self.vm.keyed and not self.holds(int(key)):
            return encode("HTTP/1.1 421 Misdirected Request", refused, b"")
        if len(self.running) >= self.vm.slots:
            return encode("HTTP/1.1 503 Busy", refused, b"")
        self.runs.append((request_id, self._record.now(), int(key or -1)))
        self._record.write(f"{self.id} runs {method} {target} {request_id}")
        if self.on_run is not None:
            self.on_run(target)
        query = target.partition("?")[2]
        work_ms = int(query.partition("ms=")[2] or "20")
        self.running[request_id] = int(key or -1)
        try:
            await asyncio.sleep(work_ms / 1000)
        finally:
            del self.running[request_id]
        self._record.write(f"{self.id} has run {request_id}")
        return encode(
            "HTTP/1.1 200 OK", fields | {"Server-Stamp": self.id}, b"done"
        )

    async def _check_in_forever(self) -> None:
        while True:
            started = time.monotonic()
            busy = await self._check_in()
            pause = RELEASE_S if busy else HEARTBEAT_S
            await asyncio.sleep(max(0.01, pause - (time.monotonic() - started)))

    async def _check_in(self) -> bool:
        self.sequence += 1
        sequence, sent = self.sequence, self._record.now()
        self._drop_expired()
        freed = list(self.freed)
        document = {
            "Service": self.vm.service,
            "Address": f"127.0.0.1:{self.vm.ports['app']}",
            "Zone": "z",
            "Version": "v1",
            "Slots": self.vm.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": sequence,
            "born": self.born,
        }
        if self.vm.keyed:
            document["Holds"] = [
                [r["first"], r["last"], r["fence"]] for r in self.held
            ]
            document["Freed"] = freed
        self._record.write(
            f"{self.id} check-in {sequence} {self.state} "
            f"holds {document.get('Holds')} freed {freed}"
        )
        first = f"POST /api/instances/{self.id}/heartbeat HTTP/1.1"
        headers = {"Host": "control", "Content-Type": "application/json"}
        body = json.dumps(document).encode()
        control = self.vm.ports["control"]
        if (
            self.hold_back is not None
            and (late := self.hold_back(sequence)) is not None
        ):
            self._record.write(f"{self.id} check-in {sequence} is held up")
            delivery = asyncio.create_task(
                self._deliver_late(late, sequence, first, headers, body)
            )
            self._works.add(delivery)
            delivery.add_done_callback(self._works.discard)
            await asyncio.sleep(ANSWER_LIMIT_S)
            return False
        answer = await exchange(control, first, headers, body, ANSWER_LIMIT_S)
        if answer is None or answer[0] != 200:
            self._record.write(f"{self.id} check-in {sequence}: no answer")
            return False
        self.acknowledged = sequence
        if self.vm.keyed:
            self.freed = self.freed[len(freed) :]
            return self._apply(json.loads(answer[2]), sent, sequence)
        return False

    async def _deliver_late(
        self, late, sequence: int, first: str, headers: dict, body: bytes
    ) -> None:
        await late
        self._record.write(f"{self.id} check-in {sequence} arrives late")
        await exchange(
            self.vm.ports["control"], first, headers, body, ANSWER_LIMIT_S
        )

    def _apply(self, answer: dict, sent: float, sequence: int) -> bool:
        rows = answer.get("Holds")
        self._record.write(
            f"{self.id} check-in {sequence} answered {rows} "
            f"for {answer.get('HoldMs')} ms"
        )
        if rows is None:
            return False
        freed_before = len(self.freed)
        until = sent + answer["HoldMs"] / 1000
        kept = self._release_parts(rows)
        fresh = [row for row in rows if self._accepts(row)]
        old, self.held = self.held, kept
        for first, last, fence, _ in fresh:
            self._take(old, first, last, fence, until)
        return bool(kept) or len(self.freed) > freed_before

    def _release_parts(self, rows: list) -> list[dict]:
        """Releases what an answer leaves out; returns what is still at work."""
        kept = []
        for row in self.held:
            for first, last in left_out(row["first"], row["last"], rows):
                part = dict(row, first=first, last=last)
                if any(first <= k <= last for k in self.running.values()):
                    kept.append(part)
                    continue
                self._end_span(part)
                self.freed.append([first, last, os.urandom(8).hex()])
        return kept

    def _accepts(self, row: list) -> bool:
        """Notes a row; False if a key was seen with a higher generation."""
        first, last, fence, _ = row
        if any(f > fence for f in self.seen_fence[first : last + 1]):
            return False
        self.seen_fence[first : last + 1] = [fence] * (last - first + 1)
        return True

    def _take(
        self, old: list[dict], first: int, last: int, fence: int, until: float
    ) -> None:
        """Holds a row; a row that goes on unchanged keeps its beginning."""
        since = self._record.now()
        for row in old:
            a, b = max(first, row["first"]), min(last, row["last"])
            if a > b:
                continue
            if (a, b, row["fence"]) == (first, last, fence):
                since = row["since"]
            else:
                self._end_span(dict(row, first=a, last=b))
        self.held.append(
            {
                "first": first,
                "last": last,
                "fence": fence,
                "until": until,
                "since": since,
            }
        )

    def all_spans(self) -> list[tuple]:
        """Returns all spans in which it held keys, also those that go on."""
        self._drop_expired()
        now = self._record.now()
        return self.spans + [
            (self.id, r["first"], r["last"], r["fence"], r["since"], now)
            for r in self.held
        ]


class Machine:
    """One machine: a daemon's settings, the daemon, and its worker."""

    def __init__(
        self, name: str, service: str, keyed: bool, store: int, folder: str
    ) -> None:
        self.name = name
        self.service = service
        self.keyed = keyed
        names = ("app", "inbound", "outbound", "ready", "control", "peer")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self._path = pathlib.Path(folder) / f"{name}.toml"
        self._log = pathlib.Path(folder) / f"{name}.log"
        self._path.write_text(
            SETTINGS.format(vm=name, service=service, store=store, **self.ports)
        )
        self.slots = 15
        self.daemon: subprocess.Popen | None = None
        self.worker: Worker | None = None
        self.started_s = 0.0

    def start_daemon(self, record: Record) -> None:
        """Starts the daemon with the command of the deploy file."""
        with self._log.open("ab") as log:
            self.daemon = subprocess.Popen(
                [sys.executable, "-m", "primrosecross.platform"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "PRIMROSECROSS_NODE_FILE": str(self._path),
                },
            )
        self.started_s = record.now()
        record.write(f"daemon {self.name} starts")

    async def is_ready(self) -> bool:
        """Returns whether the daemon says that it is ready."""
        answer = await exchange(
            self.ports["ready"],
            "GET /api/readyz HTTP/1.1",
            {"Host": "x"},
            b"",
            1,
        )
        return answer is not None and answer[0] == 200

    def log(self) -> str:
        """Returns the daemon's log."""
        return self._log.read_text(errors="replace")


@dataclasses.dataclass(frozen=True)
class Attempt:
    """What became of a request.

    Attributes:
        request_id: Its id.
        status: Status of the answer, 0 without one.
        retry_after_s: When the client may come again.
    """

    request_id: str
    status: int
    retry_after_s: float


class Fleet:
    """A small deployment: a store, daemons and their workers."""

    def __init__(
        self,
        record: Record,
        *,
        count: int,
        keyed: bool,
        timeout_ms: int,
        attempts: int = 2,
        files: int = 0,
    ) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        self._sent = 0
        self.senders: dict[str, str] = {}  # machine by request
        self.store = Store(free_ports(1)[0])
        self.store.put(
            "config", "main", config(1, keyed, timeout_ms, attempts, files)
        )
        kinds = [("desk", keyed)] * count + [("files", False)] * files
        self.machines = [
            Machine(
                f"vm-{number + 1}",
                service,
                service_keyed,
                self.store.port,
                self._folder.name,
            )
            for number, (service, service_keyed) in enumerate(kinds)
        ]
        self.workers: list[Worker] = []

    async def start(self, within_s: float = 25.0) -> None:
        """Starts all; returns when every daemon serves."""
        await self.store.start()
        for machine in self.machines:
            machine.start_daemon(self.record)
            await self.start_worker(machine)
        until_s = time.monotonic() + within_s
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > until_s:
                    raise TimeoutError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def start_worker(self, machine: Machine) -> None:
        """Starts a new boot of a machine's worker."""
        machine.worker = Worker(machine, self.record)
        self.workers.append(machine.worker)
        await machine.worker.start()

    async def send(
        self, machine: Machine, path: str, **options: object
    ) -> tuple[str, int]:
        """Sends a request as a client; returns its id and its status or 0."""
        attempt = await self.ask(machine, path, **options)
        return attempt.request_id, attempt.status

    def next_id(self, machine: Machine) -> str:
        """Returns the id of a new request of a client on a machine."""
        self._sent += 1
        request_id = f"r{self._sent}"
        self.senders[request_id] = machine.name
        return request_id

    async def ask(
        self,
        machine: Machine,
        path: str,
        *,
        key: int | None = None,
        method: str = "GET",
        time_limit_ms: int = 2000,
        body: bytes = b"",
    ) -> "Attempt":
        """Sends a request as a client and returns what became of it."""
        request_id = self.next_id(machine)
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(time_limit_ms),
        }
        if key is not None:
            headers["Shard-Key"] = str(key)
        self.record.write(
            f"client on {machine.name} sends {request_id} {method} {path} "
            f"key {key}"
        )
        answer = await exchange(
            machine.ports["outbound"],
            f"{method} {path} HTTP/1.1",
            headers,
            body,
            time_limit_ms / 1000 + 0.5,
        )
        if answer is None:
            self.record.write(f"{request_id} got no answer")
            return Attempt(request_id, 0, 0.0)
        status, fields, content = answer
        text = content.decode(errors="replace").strip()[:120]
        self.record.write(f"{request_id} answered {status} {text}")
        retry_after_s = float(fields.get("retry-after", "0"))
        return Attempt(request_id, status, retry_after_s)

    def stop(self) -> None:
        """Kills all daemons that it started, and waits for their ends."""
        for machine in self.machines:
            if machine.daemon is not None and machine.daemon.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.daemon.send_signal(signal.SIGCONT)
                machine.daemon.kill()
        for machine in self.machines:
            if machine.daemon is not None:
                machine.daemon.wait()
        self._folder.cleanup()


def main(play, folder: str) -> None:
    """Plays a case; exits with 1 if the rule broke, 0 if not, 2 otherwise."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(trouble)}")
    try:
        verdict = asyncio.run(_limited(play, record, trouble))
    except Exception as error:  # The case could not run.
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        os._exit(2)
    for line in verdict:
        record.write(f"BROKEN {line}")
        print(f"BROKEN {line}")
    if not verdict:
        record.write("the rule held")
        print("the rule held")
    os._exit(1 if verdict else 0)


async def _limited(play, record: Record, trouble: bool) -> list[str]:
    async with asyncio.timeout(112):
        return await play(record, trouble)
