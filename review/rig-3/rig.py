"""Stand-ins and helpers for the cases of the third review.

One Python process plays the platform's store, the replicas and the requesters. The
gateways are separate processes, started with the command of the deploy file. Only
the Python standard library is used, and only loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "desk.example"
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"
HEARTBEAT_S = 1.2
DRAIN_MS = 2000

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to record.txt, with times in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def network():
    """A random part of the loopback range, so that fixed ports are free."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- HTTP/1.1


async def read_head(reader):
    """Reads a head. Returns its first line and its fields, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return b""


def reset(writer):
    """Closes a channel with a reset."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def encode_response(status, reason, fields, body):
    head = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


# ---------------------------------------------------------------- the store


class Store:
    """The platform's metadata store: reads, pages and watches."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.channels = {}  # channel -> number of its gateway
        self.watching = {}  # number of a gateway -> its watches that wait
        self.turned_away = set()  # numbers of gateways whose channels are reset
        # Called with the gateway's number and the events of each watch answer.
        self.on_delivery = None

    async def start(self, net):
        """Listens on one address for each gateway, which tells them apart."""
        self.net, self.port = net, free_port(f"{net}.200")
        addresses = [f"{net}.{200 + index}" for index in range(10)]
        self.server = await asyncio.start_server(self.serve, addresses, self.port)

    def address_for(self, index):
        return f"{self.net}.{200 + index}:{self.port}"

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["CreatedRev"] if key in self.items else self.revision
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "CreatedRev": created,
            "Lease": 0,
        }
        self.items[key] = item
        self.append(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.append({"Key": key, "Revision": self.revision, "Tombstone": True})

    def append(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def turn_away(self, numbers):
        """Resets the channels of some gateways, and all that they open from now on."""
        self.turned_away = set(numbers)
        for writer, number in list(self.channels.items()):
            if number in self.turned_away:
                reset(writer)

    async def serve(self, reader, writer):
        own = writer.get_extra_info("sockname")[0]
        number = int(own.split(".")[3]) - 200
        if number in self.turned_away:
            reset(writer)
            return
        self.channels[writer] = number
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                target = head[0].split(" ")[1]
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                status, answer = await self.answer(path, query, number)
                body = json.dumps(answer).encode()
                fields = [("Content-Type", "application/json")]
                await asyncio.sleep(0.004)
                writer.write(encode_response(status, "Answer", fields, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.channels.pop(writer, None)
            writer.close()

    async def answer(self, path, query, number):
        prefix = query.get("Prefix", "")
        if path == "/verbenahub/kv-key":
            item = self.items.get(query.get("Key"))
            return (200, {**item, "StoreRevision": self.revision}) if item else (404, {})
        if path == "/verbenahub/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix))
            keys = [key for key in keys if key > query.get("After", "")]
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"Items": items, "HasMore": more, "StoreRevision": self.revision}
        if path == "/verbenahub/kv-watch":
            after, wait = int(query["After"]), int(query["WaitMs"]) / 1000
            end = time.monotonic() + wait
            while True:
                events = [e for e in self.events if e["Revision"] > after and e["Key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    if events and self.on_delivery:
                        self.on_delivery(number, events)
                    return 200, {"events": events, "StoreRevision": self.revision}
                changed = self.changed
                self.watching[number] = self.watching.get(number, 0) + 1
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
                finally:
                    self.watching[number] -= 1
        return 404, {}


def configuration(version, routes, services, keys=(KEY,), tenants=()):
    return json.dumps(
        {
            "Version": version,
            "Routes": routes,
            "Services": services,
            "Limits": {
                "MaxHeaderBytes": 32768,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 5000,
                "IdleTimeoutMs": 30000,
            },
            "Tenants": [{"Name": TENANT, "ApiKeys": list(keys)}, *tenants],
        }
    ).encode()


def route(name, prefix, service, kind, timeout_ms, goal_ms, attempts):
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": prefix,
        "Service": service,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "GoalMs": goal_ms,
        "Priority": 1,
        "Attempts": attempts,
    }


# ---------------------------------------------------------------- a replica


class Replica:
    """A replica of a plain service. It registers, works and leaves as PROTOCOL.md says."""

    def __init__(self, record, store, ip, service, zone, slots=6, queue=24, work_s=0.1):
        self.record, self.store, self.ip = record, store, ip
        self.service, self.zone = service, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.id = "i-%010x" % random.getrandbits(40)
        self.born = int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.running = self.waiting = 0
        self.slot = asyncio.Semaphore(slots)
        self.arrivals = []  # (time, Attempt-Id) of requests that it did not turn away
        self.writers = set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.heartbeat()
        self.beating = asyncio.ensure_future(self.beat())

    def entry(self):
        """The next entry. Each has a higher Sequence."""
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "Sequence": self.sequence,
            "ColdLeftMs": 0,
            "born": self.born,
        }

    def write(self, entry):
        """Carries out a write at the store. An entry of which only Sequence differs
        doesn't change."""
        key = "servers/" + self.id
        old = self.store.items.get(key)
        if old:
            old = json.loads(base64.b64decode(old["Value"]))
            if {**old, "Sequence": 0} == {**entry, "Sequence": 0}:
                return
        self.store.put(key, json.dumps(entry).encode())
        self.record.write(f"store: {self.id} State={entry['State']} Sequence={entry['Sequence']}")

    def heartbeat(self):
        self.write(self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.heartbeat()

    async def exit(self):
        """Ends the process: its channels close, and its entry is removed."""
        self.beating.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.store.remove("servers/" + self.id)
        self.record.write(f"replica: {self.id} has left")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = await read_body(reader, fields)
                response, close = await self.handle(line, fields, body)
                writer.write(response)
                await writer.drain()
                if close:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def handle(self, line, fields, body):
        attempt = fields.get("attempt-id", "")
        common = [
            ("Attempt-Id", attempt),
            ("Instance-Id", self.id),
            ("Instance-Load", f"{self.running},{self.waiting},{self.slots}"),
            ("Keep-Alive", "timeout=8"),
        ]
        if fields.get("expect-instance") != self.id:
            return encode_response(421, "Misdirected", common + [("Not-Executed", "1")], b""), False
        if self.waiting >= self.queue:
            return encode_response(503, "Full", common + [("Not-Executed", "1")], b""), False
        self.arrivals.append((self.record.now(), attempt))
        self.record.write(f"replica: {self.id} State={self.state} got {attempt}")
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            self.running += 1
            self.record.write(f"replica: {self.id} runs {attempt}")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        self.record.write(f"replica: {self.id} done {attempt}")
        closes = self.state == "draining"
        common += [("Response-Signature", "3e1b.07.5a2.%d.0.c9f2a4d1" % len(attempt))]
        common += [("Connection", "close")] if closes else []
        return encode_response(200, "OK", common, ("done " + attempt).encode()), closes


# ---------------------------------------------------------------- gateways


class Gateway:
    """A gateway process with settings like those of a small deployment."""

    def __init__(self, record, store, ip, index, folder):
        self.record, self.ip, self.folder = record, ip, folder
        self.index, self.zone = index, f"z{index % 3}"
        self.name = f"frontend-{self.zone}-{index}"
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.control = f"{ip}:{free_port(ip)}"
        self.store = store
        self.process = None

    async def start(self, seeds):
        settings = os.path.join(self.folder, self.name + ".toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(
                f'Node = "{self.name}"\nRole = "gateway"\nMachineClass = "frontend"\n'
                f'Serves = ["frontend","control_plane"]\nIp = "{self.ip}"\nZone = "{self.zone}"\n'
                f'Region = "us-south"\nSeeds = {json.dumps(seeds)}\nBootstrap = true\n'
                f"HeartbeatMs = 1200\n"
                f'[Listen]\nFront = "{self.front}"\nReady = "{self.ready}"\nControl = "{self.control}"\n'
                f"[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n"
                f"LinkMbps = 1000.0\nDiskMb = 0\n"
                f"[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nDrainMs = {DRAIN_MS}\n"
                f"GraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\n"
                f"RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 58\n"
                f'[Platform]\nAddress = "{self.store.address_for(self.index)}"\nform = "read"\nReadsPerS = 2000\n'
                f"HistoryS = 20\nValueBytes = 1048576\n"
            )
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "target/release/verbenahub-gateway",
            "--settings",
            "deploy/gateway.toml",
            cwd=REPOSITORY,
            env={**os.environ, "VERBENAHUB_NODE_FILE": settings},
            stdout=log,
            stderr=log,
        )
        log.close()

    def memory_mb(self):
        """Resident memory in MB, as the platform counts it."""
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        ip, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"GET /verbenahub/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return bool(head) and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self):
        for _ in range(200):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} did not become ready")

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def start_fleet(record, store, net, folder, count):
    gateways = []
    for index in range(count):
        gateways.append(Gateway(record, store, f"{net}.{100 + index}", index, folder))
    seeds = [gateway.control for gateway in gateways[:3]]
    for gateway in gateways:
        await gateway.start(seeds)
    for gateway in gateways:
        await gateway.wait_ready()
    return gateways


# ---------------------------------------------------------------- requesters


def attempt_id():
    return "%016x" % random.getrandbits(64)


async def request(record, gateway, method, path, body=b"", deadline_ms=1500, fields=(), key=KEY):
    """Sends one requester attempt on a new channel. Returns (id, status or None, body)."""
    attempt = attempt_id()
    ip, port = gateway.front.split(":")
    head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}"]
    head += [f"Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}"]
    head += [f"Content-Length: {len(body)}"] + [f"{name}: {value}" for name, value in fields]
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        record.write(f"requester: {attempt} {method} {path} to {gateway.name}")
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for start in range(0, len(body), 65536):
            writer.write(body[start : start + 65536])
            await writer.drain()
        answer = await read_head(reader)
        if answer is None:
            return None, b""
        return int(answer[0].split(" ")[1]), await read_body(reader, answer[1])

    try:
        status, answer = await asyncio.wait_for(exchange(), deadline_ms / 1000 + 0.5)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(f"requester: {attempt} failed: {type(error).__name__}")
        status, answer = None, b""
    finally:
        if writer:
            writer.close()
    record.write(f"requester: {attempt} answered {status}")
    return attempt, status, answer


def run_case(case):
    """Runs `case(record, store, net, folder, trouble, gateways)` and exits with its result.
    The argument `without` leaves out the disruption."""
    where = os.path.abspath(os.path.dirname(sys.argv[0]))
    record = Record(where)
    trouble = sys.argv[1:] != ["without"]
    record.say("with the disruption" if trouble else "without the disruption (TROUBLE=0)")
    folder = tempfile.mkdtemp(prefix="review-")
    gateways = []

    async def main():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        loop.set_exception_handler(lambda _, context: record.write(f"rig: {context.get('message')}"))
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, task.cancel)
        store = Store(record)
        net = network()
        await store.start(net)
        try:
            return await asyncio.wait_for(case(record, store, net, folder, trouble, gateways), 110)
        finally:
            for gateway in gateways:
                await gateway.stop()

    try:
        result = asyncio.run(main())
    except (CaseError, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record.say(f"could not run: {type(error).__name__} {error}")
        result = NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            record.say(f"logs: {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    os._exit(result)
