"""Stand-ins for a small deployment: the platform's store, replicas, clients, and the real fronts.

Everything runs in one Python process on loopback, except the fronts: these are processes of the
program that `deploy/system.toml` names. Only the standard library is used. The stand-ins do what
`PROTOCOL.md` and `DEPLOY.md` of the users' pages say; each fault is switched on by a test.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "hornbeamrock")
HOST = "ficu95.example"
PARTITIONS = 24
# Limits of the store, as in the settings.
RECORD_BYTES, CALL_BYTES = 262144, 2097152

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f}  {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


# --- HTTP -----------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)

    def json(self):
        return json.loads(self.body)


async def read_head(reader):
    """First line and headers; `None` at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            return line.decode().rstrip("\r\n"), headers
        name, _, value = field.decode().partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises if the body ends early."""
    while True:
        line = await reader.readline()
        if not line:
            raise ConnectionError("the body ended early")
        size = int(line.split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return
        yield chunk


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, head[1], await read_body(reader, head[1]))


REASONS = {200: "OK", 202: "Accepted", 410: "Gone", 421: "Misdirected Request"}


def head_bytes(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer_bytes(status, body=b"", headers=None):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = {"Content-Type": "application/json", **(headers or {})}
    return head_bytes(status, {**(headers or {}), "Content-Length": len(body)}) + body


def request_bytes(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def http_call(address, method, target, headers=None, body=b"", within=10.0):
    """One exchange on a new connection: status, headers and body. Raises if it isn't complete."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request_bytes(method, target, headers or {}, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), within)


# --- The platform's store -------------------------------------------------------------------------


class Log:
    def __init__(self):
        self.records, self.newest = [], {}

    def append(self, keyed, records):
        first = len(self.records)
        for record in records:
            if keyed:
                length = record[0]
                key, value = record[1 : 1 + length].decode(), record[1 + length :]
                if value:
                    self.newest[key] = (len(self.records), value)
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        return first

    def page(self, start, max_bytes):
        out, size = [struct.pack(">QQ", len(self.records), 0)], 0
        for record in self.records[start:]:
            if size and size + len(record) + 4 > max_bytes:
                break
            size += len(record) + 4
            out.append(struct.pack(">I", len(record)) + record)
        return b"".join(out)


class Group:
    """Members, and the partitions that each of them holds. A partition that is dealt to another
    member goes there once its holder has joined again, left, or sent nothing for its TTL."""

    def __init__(self):
        self.generation, self.members, self.holder = 0, {}, {}

    def expire(self, now):
        gone = [name for name, until in self.members.items() if until < now]
        for name in gone:
            self.leave(name)

    def leave(self, name):
        if self.members.pop(name, None) is not None:
            self.generation += 1
            for part in [part for part, holder in self.holder.items() if holder == name]:
                del self.holder[part]

    def join(self, name, ttl_ms, now):
        if name not in self.members:
            self.generation += 1
        self.members[name] = now + ttl_ms / 1e3
        self.expire(now)
        quota = -(-PARTITIONS // len(self.members))
        held = sorted(part for part, holder in self.holder.items() if holder == name)
        for part in held[: max(0, len(held) - quota)]:
            del self.holder[part]
        held = [part for part, holder in self.holder.items() if holder == name]
        for part in range(PARTITIONS):
            if len(held) >= quota:
                break
            if part not in self.holder:
                self.holder[part] = name
                held.append(part)
        return sorted(held)


class Store:
    """The store. Each front gets a listener of its own, so that a test can harm the connections of
    one front only."""

    def __init__(self, record):
        self.record, self.logs, self.groups = record, {}, {}
        self.changed = asyncio.Condition()

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, part), Log())

    async def put(self, topic, key, value):
        """Writes a record of a keyed topic, as the operator, a trainer or a replica does."""
        body = b"" if value is None else json.dumps(value).encode()
        self.log(topic).append(True, [bytes([len(key)]) + key.encode() + body])
        async with self.changed:
            self.changed.notify_all()

    async def listen(self, name):
        listener = StoreListener(self, name)
        listener.server = await asyncio.start_server(listener.serve, "127.0.0.1", 0)
        listener.address = listener.server.sockets[0].getsockname()
        return listener

    async def answer(self, request):
        name = request.path
        topic, part = request.query.get("Topic"), int(request.query.get("part", "0"))
        if name == "/v1/log-append":
            records, body = [], request.body
            while body:
                (length,) = struct.unpack(">I", body[:4])
                records.append(body[4 : 4 + length])
                body = body[4 + length :]
            largest = max((len(record) for record in records), default=0)
            if largest > RECORD_BYTES or sum(map(len, records)) > CALL_BYTES:
                # Records are appended all or nothing.
                self.record(f"store: refused an append to {topic} with a record of {largest} bytes")
                return answer_bytes(400, {"Error": "a record is too long"})
            log = self.log(topic, part)
            offset = log.append(topic.startswith("keyed."), records)
            async with self.changed:
                self.changed.notify_all()
            return answer_bytes(200, {"Offset": offset, "End": len(log.records)})
        if name == "/v1/log-read":
            start = int(request.query["From"])
            until = time.monotonic() + int(request.query.get("WaitMs", "0")) / 1e3
            log = self.log(topic, part)
            async with self.changed:
                while len(log.records) <= start and (left := until - time.monotonic()) > 0:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        break
            return answer_bytes(200, log.page(start, int(request.query.get("MaxKb", "1024")) * 1024))
        if name == "/v1/log-newest":
            log = self.log(topic, part)
            entries = [
                {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
                for key, (offset, value) in sorted(log.newest.items())
            ]
            return answer_bytes(
                200, {"Entries": entries, "More": False, "End": len(log.records)}
            )
        group = self.groups.setdefault(
            request.query.get("Group") or request.json()["Group"], Group()
        )
        now = time.monotonic()
        if name == "/v1/log-join":
            call = request.json()
            parts = group.join(call["Member"], call["TtlMs"], now)
            rows = [[call["Topics"][0], part, 0] for part in parts]
            return answer_bytes(
                200, {"Generation": group.generation, "TtlMs": call["TtlMs"], "parts": rows}
            )
        if name == "/v1/log-leave":
            group.leave(request.json()["Member"])
            return answer_bytes(200, {})
        if name == "/v1/log-owners":
            group.expire(now)
            rows = [["runners", part, holder, 0] for part, holder in group.holder.items()]
            return answer_bytes(200, {"Generation": group.generation, "parts": rows})
        return answer_bytes(400, {})


class StoreConnection:
    def __init__(self):
        # The call that is being answered and when it arrived; `None` between two calls.
        self.call, self.since = None, 0.0
        # A silent connection carries nothing any more, in either direction.
        self.silent = False


class StoreListener:
    def __init__(self, store, name):
        self.store, self.name, self.connections = store, name, set()
        # Whether the store turns this front away, with 503.
        self.refuses = False
        # When the last join of the group was answered.
        self.joined = 0.0
        # Called with each request before and after its answer is written.
        self.on_answering = self.on_answered = lambda request: None

    async def serve(self, reader, writer):
        connection = StoreConnection()
        self.connections.add(connection)
        try:
            while not connection.silent:
                request = await read_request(reader)
                if request is None:
                    break
                if connection.silent:
                    await asyncio.sleep(60)
                    break
                connection.call, connection.since = request, time.monotonic()
                if self.refuses:
                    answer = answer_bytes(503, {})
                else:
                    answer = await self.store.answer(request)
                connection.call = None
                if connection.silent:
                    # No answer, and no close either, as long as the test runs.
                    await asyncio.sleep(60)
                    break
                await asyncio.sleep(0.004)
                if request.path == "/v1/log-join":
                    self.joined = time.monotonic()
                self.on_answering(request)
                writer.write(answer)
                self.on_answered(request)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller has gone, or the test ends.
        finally:
            self.connections.discard(connection)
            writer.close()


# --- Replicas -------------------------------------------------------------------------------------


class Replica:
    """A plain replica, or a model replica that streams events. Runs are cancelled when the caller
    disconnects."""

    def __init__(self, record, name, service, work_s=0.02, events=0, pause_s=0.05):
        self.record, self.id, self.service = record, name, service
        self.work_s, self.events, self.pause_s = work_s, events, pause_s
        self.model, self.orders = None, 0
        # Data of an event, by request id and number.
        self.event_data = lambda request, number: f"word-{number}"
        self.event_count = lambda request: self.events
        self.runs, self.resumed = [], {}
        # While set, streams that were not resumed wait here before their end; it gets their writers.
        self.waiting_ends = None

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        await self.beat(store)

    async def beat(self, store, state="ready"):
        entry = {
            "Service": self.service, "Address": "%s:%d" % self.address, "Zone": "zone-a",
            "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0, "Seq": 1,
        }
        if self.model:
            entry["Models"] = [{"Name": self.model, "Version": 1, "Adapters": []}]
        await store.put("keyed.servers", self.id, entry)

    async def serve(self, reader, writer):
        work = None
        try:
            while (request := await read_request(reader)) is not None:
                work = asyncio.ensure_future(self.answer(request, writer))
                while not work.done():
                    await asyncio.wait({work}, timeout=0.02)
                    if not work.done() and (reader.at_eof() or writer.transport.is_closing()):
                        work.cancel()
                        self.record(
                            f"replica {self.id}: caller of {request_id(request)} disconnected"
                        )
                        return
                work.result()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller has gone, or the test ends.
        finally:
            if work is not None and not work.done():
                work.cancel()
            if work is not None:
                await asyncio.gather(work, return_exceptions=True)
            writer.close()

    async def answer(self, request, writer):
        own = {
            "Hornbeamrock-Request-Id": request_id(request),
            "Hornbeamrock-Replica-Id": self.id,
        }
        expected = request.headers.get("hornbeamrock-expect-instance")
        if expected not in (None, self.id):
            writer.write(answer_bytes(421, b"", own))
        elif request.path == "/v1/report":
            models = [{"Name": self.model, "Version": 1, "Adapters": []}] if self.model else []
            report = {"Stage": "mixed", "Models": models, "Busy": False, "Seq": self.orders}
            writer.write(answer_bytes(200, report))
        elif request.path == "/v1/order":
            self.orders += 1
            writer.write(answer_bytes(202, {}))
        else:
            await self.run(request, writer, own)
        await writer.drain()

    async def run(self, request, writer, own):
        resumed = int(request.headers.get("last-event-id", "0"))
        self.runs.append(request_id(request))
        self.resumed.setdefault(request_id(request), []).append(resumed)
        self.record(
            f"replica {self.id}: runs {request_id(request)} {request.path}"
            + (f" after event {resumed}" if resumed else "")
        )
        own["Hornbeamrock-Server-Stamp"] = f"stamp.{self.id}.{request_id(request)}"
        if not self.events:
            await asyncio.sleep(self.work_s)
            writer.write(answer_bytes(200, b"answer to " + request_id(request).encode(), own))
            return
        own["Hornbeamrock-Weight-Versions"] = "1"
        own["Content-Type"] = "text/event-stream"
        own["Transfer-Encoding"] = "chunked"
        writer.write(head_bytes(200, own))
        for number in range(resumed + 1, self.event_count(request_id(request)) + 1):
            await asyncio.sleep(self.pause_s)
            data = self.event_data(request_id(request), number)
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        if self.waiting_ends is not None and not resumed:
            # The test writes the end.
            waiting = self.waiting_ends
            waiting.append(writer)
            while not writer.transport.is_closing() and writer in waiting:
                await asyncio.sleep(0.05)
            return
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record(f"replica {self.id}: finished {request_id(request)}")


def request_id(request):
    return request.headers.get("hornbeamrock-request-id", "-")


# --- The real fronts ------------------------------------------------------------------------------


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


class Front:
    """A process of the program, started with the command of the deploy file."""

    def __init__(self, deployment, name, cores=1):
        self.deployment, self.name, self.lines, self.cores = deployment, name, [], cores

    async def start(self):
        self.store = await self.deployment.store.listen(self.name)
        front, ready = free_port(), free_port()
        self.address, self.ready_address = ("127.0.0.1", front), ("127.0.0.1", ready)
        settings = {
            "Node": self.name, "Role": "front", "MachineClass": "front", "Serves": ["front"],
            "Ip": "127.0.0.1", "Zone": "zone-a", "Region": "region", "Zones": {"zone-a": "region"},
            "Listen": {"Front": f"127.0.0.1:{front}", "Ready": f"127.0.0.1:{ready}"},
            "Seeds": [], "Bootstrap": True, "CountsAsLoss": False,
            "Limits": {"CpuShare": 0.5, "Cpus": self.cores, "MemoryMb": 300, "MaxFds": 8200,
                       "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "recover", "samples", "stream",
                          "engine", "batch", "platform"],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            # The bounds of orldb-rennes and mdac-lots.
            "Bounds": {"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 3000, "AckMs": 4000,
                       "CatchUpS": 4.8, "DrainMs": 2000, "GraceS": 8, "LostSlackMs": 200,
                       "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
                       "RecoveryS": 12, "PassMs": 120, "AgainS": 0, "FinishS": 10,
                       "StatusS": 120, "CancelMs": 3000, "SettleMs": 1000, "QuotaOverage": 0.1,
                       "FencingRequired": False, "LeaseTtlMs": 3000, "ThawSlackMs": 300},
            "Provider": {"Address": "%s:%d" % self.store.address, "form": "log",
                         "WritesPerS": 800, "ReadsPerS": 2000, "parts": PARTITIONS,
                         "AppendMs": 1.0, "PartMbS": 20.0, "ReadMbS": 80.0,
                         "RecordBytes": RECORD_BYTES, "CallBytes": CALL_BYTES, "RetentionS": 300,
                         "PartMb": 200, "TtlMinMs": 1000},
        }
        path = os.path.join(self.deployment.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        # The deploy file's command, from the repository's root.
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "front", cwd=ROOT, stdout=asyncio.subprocess.PIPE,
            env={"HORNBEAMROCK_BOOT": path, "PATH": os.environ.get("PATH", "")},
        )
        self.reading = asyncio.ensure_future(self.read_lines())

    async def read_lines(self):
        while line := await self.process.stdout.readline():
            self.lines.append(line.decode(errors="replace").rstrip())

    def logged(self, *parts):
        return [line for line in self.lines if all(part in line for part in parts)]

    async def is_ready(self):
        try:
            return (await http_call(self.ready_address, "GET", "/v1/ready", within=1))[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def send_signal(self, number):
        self.deployment.record(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.reading.cancel()


class Deployment:
    def __init__(self, record):
        self.record, self.store = record, Store(record)
        self.folder = tempfile.mkdtemp(prefix="hornbeamrock-review-")
        self.fronts, self.replicas = [], []

    async def replica(self, name, service, model=None, **settings):
        replica = Replica(self.record, name, service, **settings)
        replica.model = model
        await replica.start(self.store)
        self.replicas.append(replica)
        return replica

    async def front(self, name, cores=1):
        front = Front(self, name, cores)
        self.fronts.append(front)
        await front.start()
        return front

    async def wait_ready(self, within=15.0):
        until = time.monotonic() + within
        while not all([await front.is_ready() for front in self.fronts]):
            if time.monotonic() > until:
                raise CannotRun("the fronts are not ready")
            await asyncio.sleep(0.05)
        self.record(f"ready: {', '.join(front.name for front in self.fronts)}")

    async def configure(self, config):
        names = ", ".join(f"{route['PathPrefix']} {route['Kind']}" for route in config["Routes"])
        await self.store.put("keyed.op", "config", config)
        self.record(f"operator: version {config['Version']} acknowledged; routes: {names}")

    async def end(self):
        for front in self.fronts:
            await front.end()
        shutil.rmtree(self.folder, ignore_errors=True)


LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000,
          "IdleTimeoutMs": 15000}


def run_case(folder, case):
    """Runs `case(deployment, record, trouble)` and exits with its result."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")

    async def run():
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/release/hornbeamrock is missing: build it first")
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment, record, trouble), 100)
        finally:
            await deployment.end()

    try:
        result = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as reason:
        record(f"cannot run: {type(reason).__name__} {reason}")
        result = CANNOT_RUN
    record(f"result: {['the rule held', 'THE RULE WAS BROKEN', 'the case could not run'][result]}")
    sys.exit(result)
