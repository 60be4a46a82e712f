"""Stand-ins of the platform's store, of replicas and of clients, and the start of the project's
program, for the cases review/4 to review/8. Python's standard library only.

The store and the replicas follow PROTOCOL.md; where it is silent they behave as a sound server.
All addresses are loopback addresses on free ports.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "hornbeamrock")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "review.example"


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def at(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.at():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


def free_ports(count, address="127.0.0.1"):
    held = []
    for _ in range(count):
        one = socket.socket()
        one.bind((address, 0))
        held.append(one)
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Closed(Exception):
    pass


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        raise Closed()
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """The chunks of a chunked body, as they arrive."""
    while True:
        try:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError):
            raise Closed()
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers, until_end=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    if "content-length" in headers:
        try:
            return await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            raise Closed()
    return await reader.read() if until_end else b""


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"]
    headers = {**headers, "Content-Length": len(body)}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---------------------------------------------------------------------------- the platform's store


class Group:
    """Members of a group. A partition moves once its former owner knows of that, leaves or is
    silent."""

    def __init__(self, partitions):
        self.members = {}
        self.ttl = {}
        self.generation = 0
        self.owner = {part: None for part in range(partitions)}
        self.target = dict(self.owner)

    def expire(self):
        now = time.monotonic()
        gone = [name for name, seen in self.members.items() if now - seen > self.ttl[name]]
        for name in gone:
            self.remove(name)

    def remove(self, name):
        if self.members.pop(name, None) is not None:
            for part, owner in self.owner.items():
                if owner == name:
                    self.owner[part] = None
            self.deal()

    def deal(self):
        self.generation += 1
        names = sorted(self.members)
        if not names:
            self.target = {part: None for part in self.target}
            return
        most = -(-len(self.target) // len(names))
        held = {name: [] for name in names}
        rest = []
        for part in sorted(self.target):
            name = self.target[part]
            if name in held and len(held[name]) < most:
                held[name].append(part)
            else:
                rest.append(part)
        for part in rest:
            name = min(names, key=lambda one: len(held[one]))
            held[name].append(part)
        fewest = len(self.target) // len(names)
        for name in names:
            while len(held[name]) < fewest:
                giver = max(names, key=lambda one: len(held[one]))
                held[name].append(held[giver].pop(0))
        self.target = {part: name for name in names for part in held[name]}

    def join(self, name, ttl_ms, generation):
        self.expire()
        known = name in self.members
        self.members[name] = time.monotonic()
        self.ttl[name] = ttl_ms / 1e3
        if not known:
            self.deal()
        elif generation >= self.generation:
            for part, owner in self.owner.items():
                if owner == name and self.target[part] != name:
                    self.owner[part] = None
        mine = []
        for part, target in self.target.items():
            if target == name and self.owner[part] in (None, name):
                self.owner[part] = name
                mine.append(part)
        return self.generation, mine


# Longest page of newest records: "at most 500 or 1 MB".
PAGE_KEYS = 500
PAGE_BYTES = 1 << 20
# "When 400 MB are stored in total, appends receive 507"; PartMb and PartMbS of the settings.
TOTAL_BYTES = 400_000_000
PART_BYTES = 200_000_000
PART_BYTES_PER_S = 20_000_000


class Store:
    def __init__(self, record):
        self.record = record
        self.logs = {}
        self.newest = {}
        self.groups = {}
        self.changed = asyncio.Condition()
        self.stored = 0
        self.full_since = None
        self.first = {}  # first offset that is kept, by topic and partition
        self.part_bytes = {}
        self.calls = {}  # number of calls by name
        self.refuse = None  # a function (caller's address, method, path) -> status or None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 24)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def append(self, topic, part, records):
        log = self.logs.setdefault((topic, part), [])
        first = len(log)
        log.extend(records)
        if not topic.startswith("keyed."):
            size = sum(map(len, records))
            self.stored += size
            self.part_bytes[topic, part] = self.part_bytes.get((topic, part), 0) + size
            self.expire(topic, part)
        if topic.startswith("keyed."):
            keys = self.newest.setdefault((topic, part), {})
            for offset, one in enumerate(records, first):
                key, value = one[1 : 1 + one[0]], one[1 + one[0] :]
                keys.pop(key, None)
                if value:
                    keys[key] = (offset, value)
        async with self.changed:
            self.changed.notify_all()
        return first, len(log)

    def expire(self, topic, part):
        """Drops the oldest records of a partition that holds more than PartMb. No case runs for as
        long as RetentionS."""
        log, at = self.logs[topic, part], self.first.get((topic, part), 0)
        while self.part_bytes[topic, part] > PART_BYTES:
            self.part_bytes[topic, part] -= len(log[at])
            self.stored -= len(log[at])
            log[at] = None
            at += 1
        self.first[topic, part] = at

    async def put(self, topic, key, value):
        raw = key.encode()
        text = b"" if value is None else json.dumps(value).encode()
        await self.append(topic, 0, [bytes([len(raw)]) + raw + text])

    async def serve(self, reader, writer):
        caller = writer.get_extra_info("peername")
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ", 2)
                status, answer, kind = await self.answer(caller, method, path, body)
                writer.write(answer_bytes(status, {"Content-Type": kind}, answer))
                await writer.drain()
        except (Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, caller, method, path, body):
        def of(status, value):
            return status, json.dumps(value).encode(), "application/json"

        refused = self.refuse and self.refuse(caller, method, path)
        if refused:
            return of(refused, {})
        path, _, text = path.partition("?")
        query = dict(field.partition("=")[::2] for field in text.split("&") if field)
        name = path.rpartition("/")[2]
        topic, part = query.get("Topic", ""), int(query.get("part", 0))
        self.calls[name] = self.calls.get(name, 0) + 1
        if name == "log-append":
            records, rest = [], body
            while rest:
                size = struct.unpack(">I", rest[:4])[0]
                records.append(rest[4 : 4 + size])
                rest = rest[4 + size :]
            size = sum(map(len, records))
            if self.stored + size > TOTAL_BYTES and not topic.startswith("keyed."):
                if self.full_since is None:
                    self.full_since = time.monotonic()
                    self.record(f"the store is full: {self.stored} bytes, appends get 507")
                return of(507, {})
            await asyncio.sleep(0.001 + size / PART_BYTES_PER_S)
            first, end = await self.append(topic, part, records)
            return of(200, {"Offset": first, "End": end})
        if name == "log-read":
            start, most = int(query.get("From", 0)), int(query.get("MaxKb", 1024)) * 1024
            deadline = time.monotonic() + int(query.get("WaitMs", 0)) / 1e3
            kept = self.first.get((topic, part), 0)
            if start < kept:
                return of(410, {"First": kept})
            while True:
                log = self.logs.setdefault((topic, part), [])
                left = deadline - time.monotonic()
                if start < len(log) or left <= 0:
                    break
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
            page = [struct.pack(">QQ", len(log), kept)]
            size = 0
            for one in log[start:]:
                if size and size + len(one) > most:
                    break
                size += len(one) + 4
                page.append(struct.pack(">I", len(one)) + one)
            return 200, b"".join(page), "application/octet-stream"
        if name == "log-newest":
            keys = self.newest.setdefault((topic, part), {})
            after = query.get("After", "").encode()
            later = sorted(key for key in keys if key > after)
            entries, size = [], 0
            for key in later[:PAGE_KEYS]:
                offset, value = keys[key]
                size += len(value) * 4 // 3
                if entries and size > PAGE_BYTES:
                    break
                entries.append({"Key": key.decode(), "Value": base64.b64encode(value).decode(),
                                "Offset": offset})
            end = len(self.logs.setdefault((topic, part), []))
            more = len(later) > len(entries)
            return of(200, {"Entries": entries, "More": more, "End": end})
        if name == "log-join":
            call = json.loads(body)
            group = self.groups.setdefault(call["Group"], Group(24))
            generation, mine = group.join(call["Member"], call["TtlMs"], call["Generation"])
            rows = [[call["Topics"][0], part, 0] for part in mine]
            return of(200, {"Generation": generation, "parts": rows})
        if name == "log-leave":
            call = json.loads(body)
            self.groups.setdefault(call["Group"], Group(24)).remove(call["Member"])
            return of(200, {})
        if name == "log-owners":
            group = self.groups.setdefault(query["Group"], Group(24))
            group.expire()
            rows = [["runners", part, name, 0] for part, name in group.owner.items() if name]
            return of(200, {"Generation": group.generation, "parts": rows})
        return of(404, {})


# ------------------------------------------------------------------------------------- replicas


class Run:
    """A request at a replica: when it came and when the replica stopped work on it."""

    def __init__(self, request_id, began, after, replica):
        self.id, self.began, self.after, self.replica = request_id, began, after, replica
        self.ended = None
        self.whole = False
        self.status = 200


class Replica:
    """A replica. `work(run, headers, body)` gives the seconds of a plain call, `events(id)` the
    number of events of a text; a replica has one of them."""

    def __init__(self, world, name, service, work=None, events=None, pause=0.05, **options):
        self.world, self.id, self.service = world, name, service
        self.work, self.events, self.pause = work, events, pause
        self.slots = options.get("slots", 8)
        self.keep_alive = options.get("keep_alive", 15)
        self.models = options.get("models", {})
        self.zone = options.get("zone", "zone-a")
        self.reports_born = options.get("reports_born", True)
        self.unframed = options.get("unframed", False)
        self.padding = "." * options.get("padding", 0)
        self.fail = options.get("fail")  # id -> status of an answer that counts as run
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.silenced = set()
        self.open = {}
        self.seq = 0
        self.orders = []
        self.connections = 0
        self.beating = True
        self.dark = False

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 24)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.host, self.port = host, port
        self.address = f"{host}:{port}"
        await self.beat()
        self.task = asyncio.ensure_future(self.beats())

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            if self.beating:
                await self.beat()

    async def beat(self):
        self.seq += 1
        entry = {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": self.state, "ColdLeftMs": 0, "Seq": self.seq,
            "Stage": "mixed",
            "Models": [
                {"Name": name, "Version": version, "Adapters": []}
                for name, version in self.models.items()
            ],
        }
        if self.reports_born:
            entry["born"] = self.born
        await self.world.store.put("keyed.servers", self.id, entry)

    async def go_dark(self, down):
        """The machine is down for `down` seconds: nothing is sent, no connection is closed, new ones
        are not answered. Then the process is back under its id, and knows nothing of before: the
        connections from before stay silent, as nobody sends on them."""
        self.world.record(f"replica {self.id} goes dark")
        self.beating = False
        self.dark = True
        self.silence()
        await asyncio.sleep(down)
        self.dark = False
        self.born = int(time.time() * 1000)
        self.orders = []
        self.beating = True
        await self.beat()
        self.world.record(f"replica {self.id} is back")

    async def crash(self, down):
        """The process ends and is back after `down` seconds under its id. Its connections are
        reset, and its address refuses new ones meanwhile."""
        self.world.record(f"replica {self.id} crashes")
        self.beating = False
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(down)
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 24)
        self.beating = True
        await self.beat()
        self.world.record(f"replica {self.id} is back")

    def silence(self):
        """All open connections go silent for good, without a reset; new ones work. Requests that
        run on them end at once."""
        for writer, task in list(self.open.items()):
            self.silenced.add(writer)
            task.cancel()
        return len(self.silenced)

    async def serve(self, reader, writer):
        self.connections += 1
        task = asyncio.ensure_future(self.converse(reader, writer))
        self.open[writer] = task
        if self.dark:
            self.silenced.add(writer)
            task.cancel()
        try:
            await task
        except asyncio.CancelledError:
            if writer in self.silenced:
                # Neither read nor written nor closed any more.
                await asyncio.sleep(3600)
            raise
        except (Closed, ConnectionError, OSError):
            pass
        finally:
            self.open.pop(writer, None)
            if writer not in self.silenced:
                writer.close()

    async def converse(self, reader, writer):
        while True:
            try:
                line, headers = await asyncio.wait_for(read_head(reader), self.keep_alive + 0.5)
            except asyncio.TimeoutError:
                return
            body = await read_body(reader, headers)
            method, path, _ = line.split(" ", 2)
            done = asyncio.ensure_future(self.answer(reader, writer, method, path, headers, body))
            gone = asyncio.ensure_future(self.wait_closed(reader))
            try:
                await asyncio.wait({done, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not done.done():
                    return
                if not done.result():
                    return
            finally:
                done.cancel()
                gone.cancel()

    async def wait_closed(self, reader):
        """Until the caller has closed the connection."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)

    async def answer(self, reader, writer, method, path, headers, body):
        """True if the connection stays open."""
        request_id = headers.get("hornbeamrock-request-id", "")
        common = {"Hornbeamrock-Request-Id": request_id} if request_id else {}
        common["Keep-Alive"] = f"timeout={self.keep_alive}"

        async def send(status, extra, body):
            writer.write(answer_bytes(status, {**common, **extra}, body))
            await writer.drain()
            return True

        expected = headers.get("hornbeamrock-expect-instance")
        if expected not in (None, self.id):
            return await send(421, {"Hornbeamrock-Replica-Id": self.id}, b"")
        if path == "/health":
            return await send(200, {"Hornbeamrock-Replica-Id": self.id}, b"")
        if path == "/v1/report":
            models = [{"Name": n, "Version": v, "Adapters": []} for n, v in self.models.items()]
            report = {"Stage": "mixed", "Models": models, "Busy": False, "Seq": len(self.orders),
                      "Queued": 0, "Running": 0, "KvUsed": 0, "KvTotal": 90000, "Handles": 0,
                      "born": self.born}
            return await send(200, {}, json.dumps(report).encode())
        if path == "/v1/order":
            order = json.loads(body)
            if order.get("Expect") not in (None, len(self.orders)):
                return await send(409, {}, b"")
            self.orders.append(order)
            self.world.record(f"order at {self.id}: {order}")
            self.models[order["Model"]] = order["Version"]
            await self.beat()
            return await send(202, {}, b"")
        after = int(headers.get("last-event-id", 0))
        run = Run(request_id, time.monotonic(), after, self.id)
        self.world.runs.append(run)
        self.world.record(f"{self.id} runs {request_id} {method} {path} after={after}")
        try:
            stamp = f"stamp-{self.id}-{request_id}"
            status = self.fail(request_id) if self.fail else None
            if status:
                run.whole, run.status = True, status
                return await send(status, {"Hornbeamrock-Server-Stamp": stamp}, b"failed")
            if self.events:
                return await self.stream(writer, run, common, stamp)
            await asyncio.sleep(self.work(run, headers, body))
            run.whole = True
            return await send(200, {"Hornbeamrock-Server-Stamp": stamp}, b"body of " + request_id.encode())
        finally:
            run.ended = time.monotonic()
            end = "whole" if run.whole else "broken off"
            self.world.record(f"{self.id} ends {request_id} {end}")

    async def stream(self, writer, run, common, stamp):
        version = max(self.models.values(), default=1)
        head = {**common, "Content-Type": "text/event-stream", "Hornbeamrock-Server-Stamp": stamp,
                "Hornbeamrock-Weight-Versions": version}
        head |= {"Connection": "close"} if self.unframed else {"Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        total, pause = self.events(run.id), self.pause
        for number in range(run.after + 1, total + 1):
            await asyncio.sleep(pause)
            data = f"id: {number}\ndata: {run.id}-{number}{self.padding}\n\n".encode()
            writer.write(data if self.unframed else b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        if not self.unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.whole = True
        return not self.unframed


# ------------------------------------------------------------------------- clients and the program


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def request(address, method, path, headers=None, body=b"", timeout=15.0, host=HOST):
    """One request on a new connection. None if there is no complete answer."""
    name, _, port = address.partition(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(name, int(port), limit=1 << 24)
        try:
            head = {"Host": host, "Content-Length": len(body), **(headers or {})}
            lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in head.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, got = await read_head(reader)
            status = int(line.split(" ")[1])
            return Answer(status, got, await read_body(reader, got, until_end=True))
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (Closed, OSError, asyncio.TimeoutError):
        return None


class Front:
    """The program of the deploy file as a process of its own."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.name = f"front-zone-a-{number}"
        self.ip = f"127.{world.subnet}.{number}.1"
        client, ready, control = free_ports(3, self.ip)
        self.client = f"{self.ip}:{client}"
        self.ready = f"{self.ip}:{ready}"
        first = min(free_ports(1, self.ip)[0], 65000)
        self.path = os.path.join(world.folder, f"{self.name}.json")
        self.settings = {
            "Node": self.name, "Role": "front", "MachineClass": "front", "Serves": ["front"],
            "Ip": self.ip, "Zone": "zone-a", "Region": "region-a",
            "Zones": {"zone-a": "region-a"},
            "Listen": {"Front": self.client, "Ready": self.ready, "Control": f"{self.ip}:{control}"},
            "PortRange": [first, first + 15], "Seeds": [], "Bootstrap": True,
            "CountsAsLoss": False,
            "Limits": {"CpuShare": 0.5, "Cpus": 1, "MemoryMb": 300, "MaxFds": 8200,
                       "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "recover", "samples", "stream",
                          "engine", "batch", "platform"],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": {"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 3000, "AckMs": 4000,
                       "CatchUpS": 4.8, "DrainMs": 2000, "GraceS": 8, "LostSlackMs": 200,
                       "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
                       "RecoveryS": 12, "PassMs": 120, "AgainS": 0, "FinishS": 10,
                       "StatusS": 120, "CancelMs": 3000, "SettleMs": 1000, "QuotaOverage": 0.1,
                       "FencingRequired": False, "LeaseTtlMs": 3000, "ThawSlackMs": 300},
            "Provider": {"Address": world.store.address, "form": "log", "WritesPerS": 800,
                         "ReadsPerS": 2000, "parts": 24, "AppendMs": 1.0, "PartMbS": 20.0,
                         "ReadMbS": 80.0, "RecordBytes": 262144, "CallBytes": 2097152,
                         "RetentionS": 300, "PartMb": 200, "TtlMinMs": 1000},
        }
        self.process = None

    async def start(self):
        with open(self.path, "w") as file:
            json.dump(self.settings, file)
        self.log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "front", "--log-level", os.environ.get("LOG_LEVEL", "info"), cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HORNBEAMROCK_BOOT": self.path},
            stdout=self.log, stderr=self.log, start_new_session=True,
        )
        self.world.record(f"{self.name} starts, pid {self.process.pid}")

    async def is_ready(self):
        answer = await request(self.ready, "GET", "/v1/ready", timeout=1.0)
        return answer is not None and answer.status == 200

    async def wait_ready(self, within=15.0):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if await self.is_ready():
                self.world.record(f"{self.name} is ready")
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        if self.process.returncode is None:
            self.world.record(f"{self.name} gets signal {number}")
            self.process.send_signal(number)

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1000
        return 0.0


def route(name, prefix, kind, service, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 3000,
            "GoalMs": 400, "Priority": 2, "Service": service, "MaxAttempts": 3, **more}


def step(name, number, items, group_size=4, scorer=None, model="m0", wanted=None):
    """Body of a batch job. `items` are ids."""
    entries = []
    for at, one in enumerate(items):
        entry = {
            "Id": one, "Path": f"/steps/{one}",
            "Headers": {"Hornbeamrock-Model": model, "Hornbeamrock-Token-Usage": "271,200",
                        "Hornbeamrock-Prompt-Prefix": f"{number:x}a{at // group_size:x}:255,{number:x}b{at:x}:16"},
            "Body": base64.b64encode(b"prompt of " + one.encode()).decode(), "Tokens": 471,
            "Group": f"{name}-g{at // group_size}",
        }
        if scorer:
            entry["Scorer"] = {"Id": f"score-{one}", "Host": HOST, "Path": f"{scorer}{one}",
                               "Body": base64.b64encode(one.encode()).decode()}
        entries.append(entry)
    groups = -(-len(items) // group_size)
    return json.dumps({"Step": number, "Model": model, "MinVersion": 1,
                       "GroupCount": wanted or groups, "Entries": entries}).encode()


class World:
    """A small deployment, and the end of all that it started."""

    def __init__(self, folder):
        self.case = folder
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = os.environ.get("KEEP_LOGS") or self.temporary.name
        self.store = Store(self.record)
        # Loopback addresses of its own, so that cases which run side by side share no port.
        self.subnet = 1 + os.getpid() % 250
        self.fronts, self.replicas, self.runs = [], [], []

    async def configure(self, version, routes, services):
        await self.store.put("keyed.op", "config", {
            "Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        })
        self.record(f"configuration {version} acknowledged")

    async def replica(self, *arguments, **options):
        one = Replica(self, *arguments, **options)
        await one.start()
        self.replicas.append(one)
        return one

    async def front(self, number):
        one = Front(self, number)
        await one.start()
        self.fronts.append(one)
        return one

    async def close(self):
        for front in self.fronts:
            if front.process and front.process.returncode is None:
                front.process.send_signal(signal.SIGKILL)
                await front.process.wait()
        self.temporary.cleanup()


def main(case, folder, limit=110.0):
    """Runs `case(world)`, which returns 0 (held), 1 (broken) or 2 (could not run)."""
    async def run():
        # Connections that are cut at the end are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        if not os.access(PROGRAM, os.X_OK):
            print("the program of the deploy file is not built")
            return 2
        world = World(folder)
        try:
            await world.store.start()
            return await asyncio.wait_for(case(world), limit)
        except asyncio.TimeoutError:
            world.record("the case took too long")
            return 2
        finally:
            await world.close()

    async def run_and_exit():
        code = await run()
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(run_and_exit())
