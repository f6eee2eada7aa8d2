"""Stand-ins of the platform for the review's scripts: its store, its workers and its callers.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). A script runs them in its own event loop and
starts the project's programs as separate processes, on loopback addresses and the real clock.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PARTS = 16
SERVICE = "svc"
HOST = "jobs.example"
KEY = "team-key-0001"
OTHER_KEY = "other-key-0001"
PREFIX = "/jobs/"
# Figures of the site file savv, as DEPLOY.md and SYSTEM.md give them.
BOUNDS = {
    "max-hold-ms": 10_000, "grace-s": 6, "cancel_ms": 3_000, "visible_ms": 3_000,
    "stop-grace-ms": 900, "contact-ms": 4_000, "recovery-s": 12, "finish_s": 14,
}


class Record:
    """Writes what was sent, answered and run to record.txt and to the standard output."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        line = f"{self.now():8.3f}  {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


# --- HTTP/1.1 -------------------------------------------------------------------------------------

async def read_message(reader):
    """Reads the first line, the headers and the body of a message; None at the end of the stream."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class NoAnswer(Exception):
    """The server closes the connection instead of answering."""


class HttpServer:
    """Serves `answer(method, path, query, headers, body) -> (status, body)`."""

    def __init__(self, answer):
        self.answer = answer
        self.server = None
        self.tasks = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, limit=2**24)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                path, _, text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in text.split("&") if part)
                status, out = await self.answer(method, path, query, headers, body)
                if not isinstance(out, bytes):
                    out = json.dumps(out, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(out)}\r\n\r\n"
                writer.write(head.encode() + out)
                await writer.drain()
        except (NoAnswer, ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()


async def call(host, port, method, path, body=None, headers=None, timeout=3.0, sender=None):
    """One call on a connection of its own, from the address `sender`. Returns the status, 0 for no
    answer, and the body."""
    data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer = None

    async def exchange():
        nonlocal writer
        local = (sender, 0) if sender else None
        reader, writer = await asyncio.open_connection(host, port, limit=2**24, local_addr=local)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            return 0, b""
        return int(message[0].split(" ")[1]), message[2]

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


# --- the platform's store -------------------------------------------------------------------------

class Partition:
    def __init__(self):
        self.first = 0
        self.records = []  # (time, bytes)
        self.newest = {}  # key -> (value, offset)
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    @property
    def end(self):
        return self.first + len(self.records)


class Door:
    """The address at which one machine reaches the store."""

    def __init__(self, store, host):
        self.store, self.address = store, (host, free_port(host))
        # While set, the store serves others only: calls of this machine get no answer and do nothing.
        self.is_silent = False
        self.http = HttpServer(self.answer)

    async def answer(self, *request):
        if not self.is_silent:
            out = await self.store.answer(*request)
            if not self.is_silent:
                return out
        await asyncio.sleep(60)
        raise NoAnswer


class Store:
    """The metadata store: topics, keyed topics and groups. It loses nothing that it acknowledged but
    the history that the pages let expire."""

    def __init__(self, record, keep_s):
        self.record, self.keep_s = record, keep_s
        self.partitions = {}
        self.groups = {}
        # Called with the topic and the records of each append; it may wait, or raise NoAnswer.
        self.before_append = None
        self.refused_appends = []

    def partition(self, topic):
        return self.partitions.setdefault(topic, Partition())

    def expire(self, part):
        oldest = time.monotonic() - self.keep_s
        count = 0
        while count < len(part.records) and part.records[count][0] < oldest:
            count += 1
        self.drop(part, count)

    def drop(self, part, count):
        del part.records[:count]
        part.first += count

    def forget_history(self):
        """Drops the records of all topics; the newest record of each key stays."""
        for part in self.partitions.values():
            self.drop(part, len(part.records))
        self.record.write("store: forgets its history; the newest record of each key stays")

    def put(self, topic, records):
        part = self.partition(topic)
        offset = part.end
        for record in records:
            if topic.startswith("keyed."):
                key, value = record[1:1 + record[0]], record[1 + record[0]:]
                if value:
                    part.newest[key] = (value, part.end)
                else:
                    part.newest.pop(key, None)
            part.records.append((time.monotonic(), record))
        part.changed.set()
        part.changed = asyncio.Event()
        return offset, part.end

    def put_key(self, topic, key, value):
        self.put(topic, [bytes([len(key)]) + key.encode() + json.dumps(value).encode()])

    async def answer(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        name = path.rsplit("/", 1)[-1]
        handler = getattr(self, "on_" + name.replace("-", "_"), None)
        if handler is None:
            return 404, {}
        return await handler(query, body)

    async def on_log_append(self, query, body):
        topic, records, at = query["topic"], [], 0
        while at < len(body):
            (length,) = struct.unpack(">I", body[at:at + 4])
            records.append(body[at + 4:at + 4 + length])
            at += 4 + length
        if sum(map(len, records)) > CALL_BYTES or any(len(one) > RECORD_BYTES for one in records):
            self.refused_appends.append((topic, len(body)))
            if len(self.refused_appends) <= 5:
                self.record.write(f"store: refuses an append of {len(body)} bytes to {topic}: over call-bytes or record-bytes")
            return 400, {}
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        if self.before_append:
            await self.before_append(topic, records)
        part = self.partition(topic)
        async with part.lock:
            await asyncio.sleep(0.003)
            offset, end = self.put(topic, records)
        return 200, {"offset": offset, "end": end}

    async def on_log_read(self, query, body):
        part = self.partition(query["topic"])
        start, until = int(query["from"]), time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        limit = int(query.get("max-kb", 1024)) * 1024
        while True:
            self.expire(part)
            if start < part.first:
                return 410, {"first": part.first}
            left = until - time.monotonic()
            if start < part.end or left <= 0:
                break
            try:
                await asyncio.wait_for(part.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        out, size = [struct.pack(">QQ", part.end, part.first)], 0
        for _, record in part.records[start - part.first:]:
            if size and size + len(record) > limit:
                break
            out.append(struct.pack(">I", len(record)) + record)
            size += len(record) + 4
        return 200, b"".join(out)

    async def on_log_trim(self, query, body):
        part = self.partition(query["topic"])
        self.drop(part, max(0, min(int(query["before"]) - part.first, len(part.records))))
        return 200, {}

    async def on_log_newest(self, query, body):
        part, cursor = self.partition(query["topic"]), query.get("depends-on", "").encode()
        items, size, more = [], 0, False
        for key in sorted(part.newest):
            if cursor and key <= cursor:
                continue
            value, offset = part.newest[key]
            if len(items) == 500 or (items and size + len(value) > 1_000_000):
                more = True
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        return 200, {"items": items, "has-more": more, "end": part.end}

    async def on_log_join(self, query, body):
        ask = json.loads(body)
        group = self.groups.setdefault(ask["group"], {"generation": 1, "members": {}, "owners": {}})
        now, member = time.monotonic(), ask["member"]
        self.expire_members(group, now)
        known = group["members"].get(member)
        if known is None or known["topics"] != ask["topics"]:
            group["generation"] += 1
        group["members"][member] = {"topics": ask["topics"], "until": now + ask["ttl-ms"] / 1000}
        rows = []
        for topic in {name for one in group["members"].values() for name in one["topics"]}:
            joined = sorted(name for name, one in group["members"].items() if topic in one["topics"])
            for part in range(PARTS):
                wanted = joined[part % len(joined)]
                owner = group["owners"].get((topic, part))
                # An owner keeps a partition until it has been told and joins again.
                if owner is None or (owner == member and owner != wanted and ask["generation"] >= group["generation"]):
                    group["owners"][topic, part] = owner = wanted
                if owner == member == wanted:
                    rows.append([topic, part, 0])
        return 200, {"generation": group["generation"], "ttl-ms": ask["ttl-ms"], "parts": rows}

    def expire_members(self, group, now):
        for name in [name for name, one in group["members"].items() if one["until"] < now]:
            self.remove_member(group, name)

    def remove_member(self, group, name):
        del group["members"][name]
        group["generation"] += 1
        for key in [key for key, owner in group["owners"].items() if owner == name]:
            del group["owners"][key]

    async def on_log_leave(self, query, body):
        ask = json.loads(body)
        group = self.groups.get(ask["group"])
        if group and ask["member"] in group["members"]:
            self.remove_member(group, ask["member"])
        return 200, {}

    async def on_log_owners(self, query, body):
        group = self.groups.get(query["group"], {"owners": {}, "members": {}})
        self.expire_members(group, time.monotonic())
        return 200, {"owners": [[topic, part, name, 0] for (topic, part), name in group["owners"].items()]}


# --- a worker -------------------------------------------------------------------------------------

class Worker:
    """One life of a worker that does not guard its room. A work unit runs for the time in its spec,
    `ms=N`."""

    def __init__(self, record, name, host, port, control, cpu=128_000, mem_mb=262_144, gpu=8):
        self.record, self.name, self.host, self.port, self.control = record, name, host, port, control
        self.room = {"cpu": cpu, "mem-mb": mem_mb, "gpu": gpu}
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = self.deadline = self.ends = self.seq = 0
        self.running, self.ended, self.over = {}, [], {}
        self.changed = asyncio.Event()
        self.starts = []  # (seconds of the record, task, run, spec)
        self.http = HttpServer(self.answer)

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def start(self):
        await self.http.start(self.host, self.port)
        return [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def beat(self):
        while True:
            self.seq += 1
            body = {
                "service": SERVICE, "address": f"{self.host}:{self.port}", "zone": "z1", "version": "v1",
                "slots": 8, "state": "ready", "cold-left-ms": 0, "room": self.room,
                "labels": ["a", "r1-1"], "clock-ms": self.clock(), "seq": self.seq, "born": self.born,
            }
            await call(*self.control, "PUT", f"/cuminbarrow/instances/{self.name}", body, timeout=1.0, sender=self.host)
            await asyncio.sleep(1.5)

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            now = self.clock()
            for task, run in list(self.running.items()):
                if now >= self.deadline:
                    self.end(task, "lapsed")
                elif now >= run["until"]:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.running.pop(task)
        self.ends += 1
        self.over[task] = run["run"]
        self.ended.append([self.ends, task, run["run"], how, ""])
        self.record.write(f"worker {self.name}: {task} run {run['run']} ended {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, method, path, query, headers, body):
        if headers.get("target-instance", self.name) != self.name:
            return 421, {}
        ask = json.loads(body)
        if ask.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = ask.get("fence", 0)
        status, out = await getattr(self, "on_" + path.rsplit("/", 1)[-1].replace("-", "_"))(ask)
        return status, {"clock-ms": self.clock(), "born": self.born, **out}

    def extend(self, ask):
        until = min(ask.get("deadline-ms", 0), self.clock() + BOUNDS["max-hold-ms"])
        self.deadline = max(self.deadline, until)

    async def on_run_start(self, ask):
        task, number = ask["task"], ask["run"]
        if ask["deadline-ms"] <= self.clock():
            return 409, {"reason": "late"}
        if task in self.running and self.running[task]["run"] == number:
            return 200, {}
        self.extend(ask)
        if number <= self.over.get(task, 0) or task in self.running:
            return 409, {"reason": "old"}
        length = int(re.search(r"ms=(\d+)", ask["spec"]).group(1))
        self.running[task] = {"run": number, "began": self.clock(), "until": self.clock() + length}
        self.starts.append((self.record.now(), task, number, ask["spec"]))
        self.record.write(f"worker {self.name}: starts {task} run {number}")
        return 200, {}

    async def on_run_stop(self, ask):
        task = ask["task"]
        run = self.running.get(task)
        if run and run["run"] <= ask["run"]:
            self.end(task, "stopped")
        self.over[task] = max(self.over.get(task, 0), ask["run"])
        return 200, {}

    async def on_pace(self, ask):
        return 200, {}

    async def on_hold(self, ask):
        self.extend(ask)
        acked = ask.get("acked-through", 0)
        self.ended = [end for end in self.ended if end[0] > acked]
        if not self.ended and ask.get("wait-ms"):
            try:
                await asyncio.wait_for(self.changed.wait(), ask["wait-ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = self.clock()
        rows = [[task, run["run"], "", min(100, 100 * (now - run["began"]) // max(1, run["until"] - run["began"])), 0]
                for task, run in self.running.items()]
        return 200, {"running": rows, "ended": self.ended[:500]}


# --- the project's processes ----------------------------------------------------------------------

def render(template, fields):
    """Fills in a settings template as DEPLOY.md says: sections, values and JSON values."""
    def section(match):
        return match.group(2) if fields.get(match.group(1)) else ""
    text = re.sub(r"\{\{#([\w.-]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    def value(match):
        found = fields.get(match.group(1), "")
        return json.dumps(found) if match.group(2) else str(found)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value, text)


def run_line(role):
    """The program of a role's run line in the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text()
    words = re.search(rf"\[roles\.{role}\].*?run = \"([^\"]+)\"", text, re.S).group(1).split()
    return [str(ROOT / words[0]), "--config"]


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Process:
    """A process of the project, started by the deploy file's command with settings from its template."""

    def __init__(self, fleet, role, name, fields):
        self.fleet, self.name = fleet, name
        self.settings = fleet.folder / f"{name}.yaml"
        template = (ROOT / "deploy" / f"{role}.yaml").read_text()
        self.settings.write_text(render(template, fields))
        self.words = run_line(role) + [str(self.settings)]
        self.child = None

    async def start(self):
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.child = await asyncio.create_subprocess_exec(
            *self.words, stdout=log, stderr=log, cwd=ROOT,
            env={name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ})
        self.fleet.record.write(f"{self.name}: started")

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)
            self.fleet.record.write(f"{self.name}: {signal.Signals(number).name}")

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.child:
            await self.child.wait()


async def limit_memory(process, memory_mb, restart_s=0.5):
    """Does what the platform does: kills a process that exceeds its memory, and starts it again."""
    while True:
        await asyncio.sleep(0.01)
        status = pathlib.Path(f"/proc/{process.child.pid}/status").read_text()
        peak = re.search(r"VmHWM:\s*(\d+)", status)
        if peak and int(peak.group(1)) > memory_mb * 1024:
            process.fleet.record.write(f"{process.name}: {int(peak.group(1)) // 1024} MB of memory, over memory-mb={memory_mb}")
            process.kills = getattr(process, "kills", 0) + 1
            await process.kill()
            await asyncio.sleep(restart_s)
            await process.start()


class Fleet:
    """A small deployment: a store, `entries` entries and `agents` agents, each with a worker."""

    def __init__(self, folder, entries=2, agents=2, keep_s=20, regions=("r1",), **worker_options):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        net = f"127.{random.randrange(16, 250)}.{random.randrange(250)}"
        self.store = Store(self.record, keep_s)
        self.store_host = f"{net}.1"
        self.doors, self.entries, self.agents, self.workers, self.tasks = [], [], [], [], []
        common = {"zone": "z1", "bounds.max-hold-ms": BOUNDS["max-hold-ms"], "bounds.grace-s": BOUNDS["grace-s"]}
        for index in range(entries):
            ip = f"{net}.{10 + index}"
            ports = [free_port(ip) for _ in range(3)]
            region = regions[index % len(regions)]
            fields = {**common, **self.open_door(), "region": region, "node": f"front-{index + 1}", "ip": ip,
                      "listen.front": f"{ip}:{ports[0]}", "listen.ready": f"{ip}:{ports[1]}",
                      "internal-ports": f"{ports[2]}", "limits.cpu-share": 0.25}
            process = Process(self, "entry", f"front-{index + 1}", fields)
            process.front, process.ready = (ip, ports[0]), (ip, ports[1])
            process.door = self.doors[-1]
            self.entries.append(process)
        for index in range(agents):
            ip = f"{net}.{100 + index}"
            control, app = free_port(ip), free_port(f"{net}.{200 + index}")
            worker = (f"{net}.{200 + index}", app)
            fields = {**common, **self.open_door(), "region": regions[0], "node": f"side-{index + 1}", "ip": ip,
                      "listen.control": f"{ip}:{control}", "app": f"{worker[0]}:{worker[1]}"}
            self.agents.append(Process(self, "agent", f"side-{index + 1}", fields))
            self.workers.append(Worker(self.record, f"i-{index + 1}", *worker, (ip, control), **worker_options))

    def open_door(self):
        self.doors.append(Door(self.store, self.store_host))
        host, port = self.doors[-1].address
        return {"platform.address": f"{host}:{port}"}

    def configure(self, version=1):
        self.store.put_key("keyed.op", "config", {
            "version": version,
            "routes": [{"name": "q1", "host": HOST, "path-prefix": PREFIX, "kind": "unsafe", "timeout-ms": 3000,
                        "target-latency-ms": 3000, "priority": 1, "service": SERVICE, "max-attempts": 3,
                        "stretch": 3.0, "public": False}],
            "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 64, "protocol": "h1",
                          "tls": False, "enforces-capacity": False, "spare": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": "team", "api-keys": [KEY], "priority": 1, "guaranteed": {"gpu": 4}},
                        {"name": "other", "api-keys": [OTHER_KEY], "priority": 1, "guaranteed": {"gpu": 4}}],
        })

    async def start(self):
        self.configure()
        for door in self.doors:
            await door.http.start(*door.address)
        for process in self.entries + self.agents:
            await process.start()
        for worker in self.workers:
            self.tasks += await worker.start()
        await self.wait_ready()

    async def wait_ready(self, limit=30.0):
        """Waits until all entries are ready; returns whether they are."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            states = [await call(*entry.ready, "GET", "/cuminbarrow/readiness", timeout=1.0) for entry in self.entries]
            if all(status == 200 for status, _ in states):
                self.record.write("all entries are ready")
                return True
            await asyncio.sleep(0.2)
        self.record.write(f"not all entries are ready after {limit:g} s: {[status for status, _ in states]}")
        return False

    async def caller(self, entry, method, job="", body=None, timeout=3.0, key=KEY):
        headers = {"Host": HOST, "Key": key, "Deadline-Ms": str(int(timeout * 1000))}
        status, text = await call(*entry.front, method, PREFIX + job, body, headers, timeout)
        return status, text.decode("utf-8", "replace")

    async def stop(self):
        """Ends all processes, and removes the temporary folder unless KEEP is set."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.entries + self.agents:
            if process.child and process.child.returncode is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                await process.child.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case):
    """Runs `case(trouble)`, which returns whether the rule held, and exits as the review asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    limit = 110

    async def limited():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(case(trouble), limit)

    try:
        held = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else 1)
