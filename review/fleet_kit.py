"""Stand-ins and helpers for the scripts of the second review: databases, the platform's promotion call, callers, and a
fleet of the deployed programs on loopback addresses. They follow PROTOCOL.md; see each class for what it does."""
import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROXY = os.path.join(ROOT, "target", "bin", "pipitpond-platform-proxy")
RESTART_S = 0.1  # How long a database is down that crashes and is back.
CONTROL = os.path.join(ROOT, "target", "bin", "pipitpond-platform-control")


def is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def free_port():
    """A port that is free on all addresses of a fleet, below those that the system gives to outgoing connections."""
    addresses = [f"127.0.0.{number}" for number in (1, *range(11, 16), *range(101, 107))]
    while True:
        port = random.randrange(15000, 30000)
        if all(is_free(address, port) for address in addresses):
            return port


def text_of(position):
    return f"{position[0]}.{position[1]}"


def position_of(text):
    term, index = text.split(".")
    return int(term), int(index)


async def http_call(address, method, path, body, limit=1.0, headers=()):
    """Status and body; status 0 if no whole answer came in time."""
    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = body.encode() if isinstance(body, str) else body
            head = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Content-Type: application/json",
                    f"Content-Length: {len(data)}", "Connection: close", *headers, "", ""]
            writer.write("\r\n".join(head).encode() + data)
            status = int((await reader.readline()).split()[1])
            length = None
            while (line := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(":")
                if name.strip().lower() == "content-length":
                    length = int(value)
            answer = await (reader.readexactly(length) if length is not None else reader.read())
            return status, answer.decode(errors="replace")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0, ""


def process_of(session_port, listening_port, processes):
    """Which of these processes has the connection from session_port to listening_port; None if none of them has."""
    with open("/proc/net/tcp", encoding="ascii") as table:
        rows = [line.split() for line in table.readlines()[1:]]
    inodes = {row[9] for row in rows if int(row[1].split(":")[1], 16) == session_port
              and int(row[2].split(":")[1], 16) == listening_port}
    for process in processes:
        try:
            links = [os.readlink(f"/proc/{process}/fd/{name}") for name in os.listdir(f"/proc/{process}/fd")]
        except OSError:
            continue
        if any(f"socket:[{inode}]" in links for inode in inodes):
            return process
    return None


# --- Databases -------------------------------------------------------------------------------------------------------


class Session(asyncio.Protocol):
    """One connection to a database."""

    def __init__(self, database):
        self.database, self.buffer, self.started, self.transport = database, b"", False, None
        self.values, self.prepared = {}, {}
        self.transaction, self.read_only, self.failed, self.writes = False, False, False, []
        self.waiting, self.busy, self.is_peer, self.other_end = [], False, False, None

    def connection_made(self, transport):
        self.transport = transport
        if self.database.is_down:
            return transport.abort()
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.database.sessions.add(self)
        return None

    def connection_lost(self, error):
        self.database.sessions.discard(self)

    def is_cut_off(self):
        """Whether a partition keeps this database from the process at the other end. Its bytes are lost then."""
        if not self.database.cut_from:
            return False
        if self.other_end is None:
            port = self.transport.get_extra_info("peername")[1]
            self.other_end = process_of(port, int(self.database.address.rsplit(":", 1)[1]), self.database.cut_from) or 0
        return self.other_end in self.database.cut_from

    def data_received(self, data):
        if self.is_cut_off():
            return
        self.buffer += data
        while b"\r\n" in self.buffer:
            line, self.buffer = self.buffer.split(b"\r\n", 1)
            self.waiting.append(line.decode())
        self.go_on()

    def go_on(self):
        while self.waiting and not self.busy and not self.transport.is_closing():
            self.take(self.waiting.pop(0))

    def send(self, text):
        if not self.transport.is_closing():
            self.transport.write(text.encode())

    def ready(self):
        state = "I" if not self.transaction else "E" if self.failed else "T"
        return f"READY {state} {text_of(self.database.end())}\r\n"

    def error(self, code, text="-"):
        if self.transaction and code != "BUSY":
            self.failed = True
        self.send(f"ERR {code} {text}\r\n" + self.ready())

    def done(self, signature="-", rows=()):
        self.send("".join(f"ROW {row}\r\n" for row in rows) + f"DONE {signature}\r\n" + self.ready())

    def take(self, line):
        database = self.database
        if line.startswith("PEER "):
            self.is_peer = True
            return self.send(json.dumps(database.take_from_peer(json.loads(line[5:]))) + "\r\n")
        if line.startswith("PROMOTE "):
            return self.send(database.promote(int(line[8:])) + "\r\n")
        if line.startswith("TELL "):
            database.told_by_test(json.loads(line[5:]))
            return self.send("OK\r\n")
        words = line.split(" ")
        if not self.started:
            wrong = len(words) < 3 or words[0] != "START" or words[1] != database.service
            if wrong or (len(words) > 3 and words[3] != database.id):
                self.send(f"ERR MISROUTED {database.id}\r\n")
                return self.transport.close()
            if sum(1 for one in database.sessions if one.started) >= database.most:
                self.send(f"ERR TOOMANY {database.id}\r\n")
                return self.transport.close()
            self.started = True
            return self.send(self.ready())
        if words[0] != "QUERY" or len(words) < 3:
            return self.transport.close()
        self.query(words[1], words[2:])

    def query(self, identity, words):
        database, word = self.database, words[0]
        if word in ("STATUS", "HOLD", "DEMOTE", "RESUME"):
            return self.command(word, words[1:])
        if word in ("SET", "PREPARE", "FORGET", "RESET"):
            self.session_statement(word, words[1:])
            return self.done()
        if self.failed and word not in ("COMMIT", "ROLLBACK"):
            return self.error("BAD", "the transaction has failed")
        if word == "AFTER":
            if database.end() < position_of(words[1]):
                return self.error("BEHIND", database.id)
            words = words[2:]
            word = words[0]
        if word == "EXEC":
            shape = self.prepared.get(words[1])
            if shape is None:
                return self.error("NOSTMT", words[1])
            word = shape
            words = [shape, *words[2:]]
        if word == "ROLLBACK" or (word == "COMMIT" and self.failed):
            failed, self.transaction, self.failed, self.writes = self.failed, False, False, []
            return self.done() if word == "ROLLBACK" else self.error("ABORTED")
        writes = word == "WRITE" or (word == "BEGIN" and len(words) == 1)
        lost_lead = self.transaction and not self.read_only
        if not database.primary and (writes or lost_lead):
            return self.error("READONLY", database.id)
        if word == "BEGIN":
            self.transaction, self.read_only = True, len(words) > 1
            return self.done()
        if database.running >= database.slots + database.queue:
            return self.error("BUSY")
        self.busy = True
        asyncio.ensure_future(self.run(identity, word, words))

    def command(self, word, words):
        database = self.database
        if word == "HOLD" and int(words[0]) > max(database.term, database.held) and not database.primary:
            database.held = int(words[0])
        elif word == "DEMOTE" and database.primary and int(words[0]) > database.term:
            database.step_down()
        elif word == "RESUME":
            database.held = 0
        role = "primary" if database.primary else "replica"
        self.done("-", [f"{role} {database.term} {text_of(database.end())} {database.held} 0 {database.running} "
                        f"{len(database.sessions)}"])

    def session_statement(self, word, words):
        if word == "SET":
            self.values[words[0]] = " ".join(words[1:])
        elif word == "PREPARE":
            self.prepared[words[0]] = words[1]
        elif word == "FORGET":
            self.prepared.pop(words[0], None)
        else:
            self.values, self.prepared = {}, {}

    async def run(self, identity, word, words):
        database = self.database
        async with database.slot():
            await asyncio.sleep(database.work)
            await self.run_in_slot(identity, word, words)
        self.busy = False
        self.go_on()

    async def run_in_slot(self, identity, word, words):
        database = self.database
        if self.transport.is_closing():
            return
        signature = f"{database.id}.{identity}.{database.next_signature()}"
        if word == "READ":
            database.note(f"ran READ {identity} {words[1]} at {text_of(database.end())}")
            self.done(signature, [str(database.data().get(words[1], "none"))])
            return database.crash_if_due()
        if word == "WRITE":
            database.note(f"ran WRITE {identity} {words[1]} {words[2]}")
            self.writes.append([words[1], words[2], identity])
            if self.transaction:
                return self.done(signature)
        self.transaction, writes, self.writes = False, self.writes, []
        if writes and not await database.commit(writes):
            return self.transport.close()
        self.done(signature)


class Database:
    """One database of a service, as its own process. Its peers are its service's other databases."""

    def __init__(self, options):
        self.id, self.service, self.zone = options["id"], options["service"], options["zone"]
        self.address, self.peers, self.control = options["address"], options["peers"], options["control"]
        self.told = options.get("told", self.address)  # Where others reach it: a relay, or the database itself.
        self.slots, self.queue, self.most = options.get("slots", 3), options.get("queue", 24), options.get("most", 34)
        self.work, self.beat = options.get("work", 0.006), options.get("beat", 1.2)
        self.primary, self.term, self.held, self.log = options.get("primary", False), 1, 0, options.get("log", [])
        self.record = open(options["record"], "a", buffering=1) if options.get("record") else None
        self.sessions, self.running, self.signatures, self.received = set(), 0, 0, {}
        self.crash_at = time.monotonic() + options["crash_after"] if options.get("crash_after") else None
        self.semaphore, self.changed = asyncio.Semaphore(self.slots), asyncio.Event()
        self.replaced, self.is_down, self.beat_now = False, False, asyncio.Event()
        self.cut_from, self.leaving, self.deaf = options.get("cut_from", []), False, False
        self.distance = options.get("distance", {})  # To each peer one way, in seconds.
        self.born, self.sequence = int(time.time() * 1000), 0

    def note(self, text):
        if self.record:
            self.record.write(f"{time.time():.4f} {self.id} {text}\n")

    def end(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (self.term if self.primary else 0, 0)

    def data(self):
        return {thing: data for _, _, writes in self.log for thing, data, _ in writes}

    def next_signature(self):
        self.signatures += 1
        return self.signatures

    def crash_if_due(self):
        """A crash that happens to come when a read has just been answered."""
        if self.crash_at and time.monotonic() >= self.crash_at:
            begun, rest = time.perf_counter(), random.uniform(0, 0.0001)
            while time.perf_counter() - begun < rest:
                pass
            os.closerange(3, 4096)  # All at once, as the kernel does for a process that ends.
            os.kill(os.getpid(), signal.SIGKILL)

    def slot(self):
        database = self

        class Slot:
            async def __aenter__(self):
                database.running += 1
                await database.semaphore.acquire()

            async def __aexit__(self, *_):
                database.running -= 1
                database.semaphore.release()
        return Slot()

    def told_by_test(self, message):
        """What a test makes happen to this database."""
        if "cut_from" in message:
            self.cut_from = message["cut_from"]  # Processes of control: neither side hears the other.
            for session in self.sessions:
                session.other_end = None
        if "leave" in message:
            asyncio.ensure_future(self.leave())
        if "restart" in message:
            self.restart()
        if "deaf" in message:
            self.deaf = message["deaf"]  # It receives nothing.

    def restart(self):
        """It crashes, and is back soon: with its log, without its hold and its connections."""
        self.is_down = True
        self.note("crashes")
        for session in list(self.sessions):
            session.transport.abort()
        asyncio.get_running_loop().call_later(RESTART_S, self.come_back)

    def come_back(self):
        self.is_down, self.held, self.born, self.sequence = False, 0, int(time.time() * 1000), 0
        self.note("starts again")
        self.beat_now.set()  # Its first heartbeat, at once.

    async def leave(self):
        """Says so first, and serves on, as some databases do before their planned end."""
        self.leaving = True
        for address in self.control * 3:
            status, _ = await http_call(address, "POST", f"/Instances.Leave/{self.id}", json.dumps({"born": self.born}))
            if 200 <= status < 300:
                return self.note("leave acknowledged")

    def step_down(self):
        self.primary = False
        self.note("step_down")
        for session in list(self.sessions):
            if session.busy and session.writes:
                session.transport.close()

    def step_down_from(self, term):
        if self.primary and self.term == term:
            self.step_down()

    def promote(self, term):
        """Leads from now on. Nothing changes at the present primary; one that was demoted leads again."""
        if self.primary and self.term == term - 1:
            return "SAME"
        self.primary, self.term, self.held, self.received, self.replaced = True, term, 0, {}, False
        self.note(f"leads {term} from {text_of(self.end())}")
        self.changed.set()
        return "OK"

    def take_from_peer(self, message):
        """Answers with the position that this log has, or with a later term."""
        if self.deaf:
            return {"held": True}
        if message["term"] < self.term or (self.primary and message["term"] == self.term):
            return {"term": self.term, "refused": True}
        if self.primary and message["term"] > self.term:
            if not self.replaced:
                self.replaced = True
                asyncio.get_running_loop().call_later(1.0, self.step_down_from, self.term)
            return {"held": True}
        if message["term"] > self.term:
            self.term, self.held = message["term"], 0
        if self.held > message["term"]:
            return {"held": True}
        log = self.log[:message["kept"]]
        same = len(log) == message["kept"] and (not log or list(log[-1][:2]) == message["before"])
        if not same:
            return {"have": 0}
        self.log = log + message["entries"]
        return {"have": len(self.log)}

    async def feed(self, peer):
        """Sends the log to one peer while this database leads."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*peer.rsplit(":", 1))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            have, term = 0, None
            try:
                while True:
                    if not self.primary:
                        await asyncio.sleep(0.01)
                        continue
                    await asyncio.sleep(self.distance.get(peer, 0))
                    if term != self.term:
                        have, term = 0, self.term
                    entries = self.log[have:]
                    before = list(self.log[have - 1][:2]) if have else None
                    message = {"term": self.term, "kept": have, "before": before, "entries": entries}
                    writer.write(b"PEER " + json.dumps(message).encode() + b"\r\n")
                    answer = json.loads(await asyncio.wait_for(reader.readline(), 1))
                    if answer.get("refused") and not self.replaced:
                        self.replaced = True  # It leads on for a second after it can reach the new primary.
                        asyncio.get_running_loop().call_later(1.0, self.step_down_from, self.term)
                    have = answer.get("have", have)
                    self.received[peer] = have if "have" in answer else 0
                    self.changed.set()
                    if have >= len(self.log) or "held" in answer:
                        await asyncio.sleep(0.003)
            except (OSError, ValueError, asyncio.TimeoutError):
                pass
            self.received[peer] = 0
            writer.close()
            await asyncio.sleep(0.02)

    async def commit(self, writes):
        """True once one replica has received it."""
        self.log.append([self.term, self.end()[1] + 1, writes])
        length, term = len(self.log), self.term
        for thing, data, identity in writes:
            self.note(f"appended {identity} {thing} {data} at {term}.{self.end()[1]}")
        while self.primary and self.term == term and not any(have >= length for have in self.received.values()):
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), 0.05)
            except asyncio.TimeoutError:
                pass
        kept = self.primary and self.term == term
        if kept:
            for thing, data, identity in writes:
                self.note(f"committed {identity} {thing} {data} at {term}.{self.log[length - 1][1]}")
        return kept

    async def heartbeats(self):
        turn = 0
        while True:
            self.sequence += 1
            body = {"Service": self.service, "Address": self.told, "Zone": self.zone, "Version": "v1",
                    "Slots": self.slots, "State": "ready", "ColdLeftMs": 0, "Seq": self.sequence, "born": self.born,
                    "DbRole": "primary" if self.primary else "replica"}
            status = 0
            for _ in [] if self.cut_from or self.leaving else self.control:
                status, _ = await http_call(self.control[turn % len(self.control)], "POST",
                                            f"/Instances.Heartbeat/{self.id}", json.dumps(body))
                if 200 <= status < 300:
                    break
                turn += 1
            # A call that nobody answers takes a second; then the next daemon is called.
            pause = self.beat if status or self.leaving else 1.0 if self.cut_from else 0.2
            self.beat_now.clear()
            try:
                await asyncio.wait_for(self.beat_now.wait(), pause)
            except asyncio.TimeoutError:
                pass

    async def serve(self):
        host, port = self.address.rsplit(":", 1)
        server = await asyncio.get_running_loop().create_server(lambda: Session(self), host, int(port),
                                                                reuse_address=True)
        self.note(f"starts primary={self.primary}")
        for peer in self.peers:
            asyncio.ensure_future(self.feed(peer))
        asyncio.ensure_future(self.heartbeats())
        await server.serve_forever()


# --- The platform's promotion call -----------------------------------------------------------------------------------


class Platform:
    """Carries out POST /promote some hundred ms after the call, at the next term of the service."""

    def __init__(self, effect=0.3, note=lambda text: None, slow=0.0):
        self.slow = slow  # How long each call takes before it is accepted.
        self.address, self.databases, self.terms, self.effect, self.note = "", {}, {}, effect, note
        self.orders, self.on_order = [], lambda identity: None

    async def start(self):
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader, writer):
        try:
            await reader.readline()
            headers = {}
            while (line := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(":")
                headers[name.strip().lower()] = value.strip()
            body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))))
            self.note(f"call for {body['Id']} has arrived, token={headers['x-fence-token']}")
            await asyncio.sleep(self.slow)
            status = self.order(body, headers)
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}"
                         .encode())
            await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def order(self, body, headers):
        service, identity = body["Service"], body["Id"]
        self.orders.append((time.time(), service, identity, int(headers["x-fence-token"]), headers["x-duty-holder"]))
        self.note(f"order {service} {identity} token={headers['x-fence-token']} holder={headers['x-duty-holder']}")
        if identity not in self.databases:
            return 409
        asyncio.ensure_future(self.carry_out(service, identity))
        self.on_order(identity)
        return 200

    async def carry_out(self, service, identity):
        await asyncio.sleep(self.effect)
        term = self.terms.get(service, 1) + 1
        try:
            reader, writer = await asyncio.open_connection(*self.databases[identity].rsplit(":", 1))
            writer.write(f"PROMOTE {term}\r\n".encode())
            if await asyncio.wait_for(reader.readline(), 1) == b"OK\r\n":
                self.terms[service] = term
                self.note(f"promoted {identity} term={term}")
            writer.close()
        except (OSError, asyncio.TimeoutError):
            self.note(f"promotion without effect {identity}")


# --- The fleet -------------------------------------------------------------------------------------------------------


class Fleet:
    """Control replicas, proxies, databases and the platform, in a temporary folder."""

    def __init__(self, folder, record, controls=3, proxies=3, services=("archive",), zones=("hall-a", "hall-b", "hall-c"),
                 database=None):
        self.folder, self.record_file, self.zones = folder, open(record, "w", buffering=1), zones
        self.children, self.environment = [], {"PATH": os.environ["PATH"], "HOME": folder, "LANG": "C"}
        self.platform = Platform(note=lambda text: self.note("platform " + text))
        self.control_http, self.control_internal = free_port(), free_port()
        self.control_addresses = [f"127.0.0.{11 + number}" for number in range(controls)]
        self.controls = [f"{address}:{self.control_http}" for address in self.control_addresses]
        self.proxies = [{"callers": f"127.0.0.1:{free_port()}", "admin": f"127.0.0.1:{free_port()}",
                         "internal": f"127.0.0.{101 + number}:{free_port()}"} for number in range(proxies)]
        self.services, self.databases, self.processes, self.options = services, {}, {}, database or {}

    def note(self, text):
        self.record_file.write(f"{time.time():.4f} {text}\n")

    def start_process(self, name, command, stdin=subprocess.DEVNULL):
        out = open(os.path.join(self.folder, name + ".log"), "ab")
        child = subprocess.Popen(command, cwd=ROOT, env=self.environment, stdout=out, stderr=subprocess.STDOUT,
                                 stdin=stdin)
        out.close()
        self.processes[name] = child
        self.children.append(child)
        return child

    def write(self, name, lines):
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start_control(self, number, bootstrap=False):
        """With the settings that deploy/control.toml.template comes to."""
        address = self.control_addresses[number]
        seeds = ", ".join(f'"{seed}"' for seed in self.controls[:3])
        path = self.write(f"control-{number}", [
            "[node]", f'id = "{address}"', "[cluster]", f"seeds = [{seeds}]",
            f"bootstrap = {'true' if bootstrap else 'false'}", "tolerated_losses = 1", "[data]",
            f'folder = "{self.folder}/data-{number}"', "[listen]", f'http = "{self.controls[number]}"',
            f'internal = "{address}:{self.control_internal}"', "[promotion]", f'endpoint = "{self.platform.address}"',
            "[lease]", "duration_ms = 1500", "[raft]", "election_min_ms = 200", "election_max_ms = 400"])
        self.start_process(f"control-{number}", [CONTROL, "--config", path])

    def start_proxy(self, number):
        """With the settings that deploy/proxy.toml.template comes to."""
        proxy = self.proxies[number]
        seeds = ", ".join(f'"{seed}"' for seed in self.controls[:3])
        path = self.write(f"proxy-{number}", [
            "[node]", f'id = "front-{number}"', f'zone = "{self.zones[number % len(self.zones)]}"', "[listen]",
            f'callers = "{proxy["callers"]}"', f'admin = "{proxy["admin"]}"', f'internal = "{proxy["internal"]}"',
            "[control]", f"seeds = [{seeds}]", f"internal_port = {self.control_internal}", "[admin]",
            'ready_path = "/ready"', "[tenants]"])
        self.start_process(f"proxy-{number}", [PROXY, "--config", path])

    def add_databases(self, service, count=3, **options):
        for number in range(count):
            identity = f"{service}-{number}"
            self.databases[identity] = {"id": identity, "service": service, "address": f"127.0.0.1:{free_port()}",
                                        "zone": self.zones[number % len(self.zones)], "primary": number == 0,
                                        "control": self.controls, "log": [[1, 1, [["first", "row", "-"]]]], "record": os.path.join(self.folder, "ran.txt"),
                                        **self.options, **options}
        members = [one for one in self.databases.values() if one["service"] == service]
        for one in members:
            one["peers"] = [other["address"] for other in members if other is not one]
            self.platform.databases[one["id"]] = one["address"]

    def start_database(self, identity, **changed):
        options = {**self.databases[identity], **changed}
        command = [sys.executable, os.path.abspath(__file__), "database", json.dumps(options)]
        self.start_process(identity, command)

    def start_relays(self):
        """From now on the databases say that they are at a relay's address."""
        for identity, options in self.databases.items():
            options["told"] = f"127.0.0.1:{free_port()}"
            relay = os.path.join(os.path.dirname(os.path.abspath(__file__)), "relay.py")
            self.start_process("relay-" + identity, [sys.executable, relay, options["told"], options["address"]],
                               stdin=subprocess.PIPE)

    async def start(self, relays=False):
        await self.platform.start()
        for service in self.services:
            self.add_databases(service)
        if relays:
            self.start_relays()
        for number in range(len(self.controls)):
            self.start_control(number, bootstrap=True)
        for number in range(len(self.proxies)):
            self.start_proxy(number)
        for identity in self.databases:
            self.start_database(identity)

    async def tell(self, identity, **message):
        reader, writer = await asyncio.open_connection(*self.databases[identity]["address"].rsplit(":", 1))
        writer.write(b"TELL " + json.dumps(message).encode() + b"\r\n")
        answered = await asyncio.wait_for(reader.readline(), 2) == b"OK\r\n"
        writer.close()
        self.note(f"told {identity} {message}")
        return answered

    def ended_by_themselves(self):
        """Processes of the system that run no more; tests end none of them on purpose, but in the end."""
        return [(name, child.returncode) for name, child in self.processes.items()
                if name.startswith(("control-", "proxy-")) and child.poll() is not None]

    def control_processes(self):
        return [self.processes[f"control-{number}"].pid for number in range(len(self.controls))]

    def kill(self, name):
        self.note(f"kill {name}")
        self.processes[name].kill()
        self.processes[name].wait()

    def configuration(self, version, **route):
        routes = []
        for service in self.services:
            for kind, stale in (("primary", None), ("bounded", 1500), ("session", 2500)):
                one = {"Name": f"r-{service}-{kind}", "Host": f"{service}-{kind}", "PathPrefix": "/", "Kind": kind,
                       "TimeoutMs": 800, "GoalMs": 200, "Priority": 1, "Service": service, "MaxAttempts": 2, **route}
                if stale:
                    one["MaxStalenessMs"] = stale
                routes.append(one)
        services = [{"Name": name, "HealthPath": "/health", "MaxConns": self.options.get("most", 34), "Protocol": "h1",
                     "Tls": False, "SyncReplicas": 1} for name in self.services]
        return {"Version": version, "Routes": routes, "Services": services,
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                           "IdleTimeoutMs": 15000, "TxIdleMs": 3000}}

    async def put(self, configuration, limit=20.0):
        """True once a control replica has acknowledged it."""
        body, turn, end = json.dumps(configuration), 0, time.time() + limit
        while time.time() < end:
            status, answer = await http_call(self.controls[turn % len(self.controls)], "POST", "/Config.Put", body, 2.0)
            if status == 200:
                self.note(f"acknowledged configuration {configuration['Version']}")
                return True
            turn += 1
            await asyncio.sleep(0.1)
        return False

    async def become_ready(self, limit=25.0):
        end = time.time() + limit
        while time.time() < end:
            answers = [await http_call(proxy["admin"], "GET", "/ready", "") for proxy in self.proxies]
            if all(status == 200 for status, _ in answers):
                probes = [await self.probe(proxy, service) for proxy in self.proxies for service in self.services]
                if all(probes):
                    return True
            await asyncio.sleep(0.1)
        return False

    async def probe(self, proxy, service):
        caller = Caller(proxy["callers"])
        try:
            if not await caller.open(f"{service}-primary"):
                return False
            return (await caller.query("READ probe", "probe" + os.urandom(4).hex())).ok
        except OSError:
            return False
        finally:
            caller.close()

    def append_records(self):
        """Adds to the record what the databases ran."""
        path = os.path.join(self.folder, "ran.txt")
        if os.path.exists(path):
            with open(path, encoding="utf-8") as ran:
                self.record_file.writelines(ran)

    def stop(self):
        for child in self.children:
            if child.poll() is None:
                try:
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                except OSError:
                    pass
        for child in self.children:
            child.wait()


def play(run, record, trouble, **options):
    """Runs a case on a fleet of its own. Returns 10 if the rule was broken, 0 if it held, 2 if the case couldn't run: Python
    itself ends with 1 on an error. All processes end with it, also on SIGTERM."""
    async def main():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(folder, record, **options)
            try:
                return await run(fleet, trouble)
            finally:
                fleet.stop()
                fleet.append_records()
    try:
        return {0: 0, 1: 10}.get(asyncio.run(main()), 2)
    except (Exception, asyncio.CancelledError):  # pylint: disable=broad-except
        traceback.print_exc()
        print("the case couldn't run to its end")
        return 2


class Reply:
    def __init__(self, rows, line, state, position):
        self.rows, self.line, self.state, self.position = rows, line, state, position
        self.ok = line.startswith("DONE")
        self.code = "" if self.ok else line.split(" ")[1] if line.startswith("ERR ") else "BROKEN"


class Caller:
    """One session of a caller."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    async def open(self, database, limit=2.0):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(f"START {database} caller\r\n".encode())
        try:
            line = await asyncio.wait_for(self.reader.readline(), limit)
        except asyncio.TimeoutError:
            return False
        return line.startswith(b"READY")

    async def query(self, text, identity, limit=5.0):
        try:
            self.writer.write(f"QUERY {identity} {text}\r\n".encode())
            return await asyncio.wait_for(self.read_reply(), limit)
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return Reply([], "BROKEN", "", "")

    async def read_reply(self):
        rows, outcome = [], "BROKEN"
        while True:
            line = (await self.reader.readline()).decode().rstrip("\r\n")
            if not line:
                return Reply(rows, "BROKEN" if outcome == "BROKEN" else outcome, "", "")
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "READY":
                state, _, position = rest.partition(" ")
                return Reply(rows, outcome, state, position)
            else:
                outcome = line

    def close(self):
        if self.writer:
            self.writer.close()


if __name__ == "__main__" and sys.argv[1:2] == ["database"]:
    asyncio.run(Database(json.loads(sys.argv[2])).serve())
