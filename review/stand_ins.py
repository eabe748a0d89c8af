"""Stand-ins for clients, databases, the operator and the platform, written from the published pages.

One asyncio loop plays all of them on loopback addresses. The programs under review run as separate processes with
the commands and templates of deploy/system.toml. Used by the scripts review/N/run.sh; needs Python 3.11 alone.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEARTBEAT_S = 1.2       # HeartbeatMs 1200
PROMOTE_S = 0.3         # 300 ms a promote
DRAIN_S = 7.0           # DrainMs 7000
RECEIVE_S = 0.003       # a replica receives a commit this much later
HANDSHAKE_S = 0.012     # 12 ms a new connection
LIMIT_S = 105           # of a whole case
GOES_ON_S = 1.0         # an old primary follows a newer one that it reaches after this time


class CannotRun(Exception):
    """The case could not be played (exit code 2)."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text, show=False):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        if show:
            print(line, flush=True)


# --- Templates of the deploy file ------------------------------------------------------------------------------------

def look_up(name, scopes):
    if name == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(one) for one in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(template, scopes, last=True):
    """Fills a template as DEPLOY.md tells: values, sections, their opposites and the comma between entries."""
    out, at = "", 0
    for gap in iter(lambda: re.compile(r"\{\{([#^]?)([^{}/]+)\}\}").search(template, at), None):
        out += template[at:gap.start()]
        kind, name = gap[1], gap[2]
        at = gap.end()
        if name == ",":
            out += "" if last else ","
            continue
        if not kind:
            out += text_of(look_up(name, scopes))
            continue
        close = template.index("{{/" + name + "}}", at)
        inside, value = template[at:close], look_up(name, scopes)
        at = close + len("{{/" + name + "}}")
        given = value not in (None, False)
        if kind == "^":
            out += "" if given else fill(inside, scopes, last)
        elif isinstance(value, list):
            out += "".join(fill(inside, [one, *scopes], number == len(value) - 1) for number, one in enumerate(value))
        elif given:
            out += fill(inside, [value, *scopes] if isinstance(value, dict) else scopes, last)
    return out + template[at:]


def free_ports(count, address="127.0.0.1"):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((address, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


# --- HTTP ------------------------------------------------------------------------------------------------------------

async def http_call(endpoint, method, path, body=b"", limit=1.0):
    """Returns (status, body); status 0 when no whole answer came in time."""
    async def exchange():
        host, port = endpoint.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {endpoint}\r\nContent-Type: application/json\r\n" \
                   f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + body)
            status = int((await reader.readline()).split()[1])
            length = 0
            while (line := await reader.readline()) not in (b"\r\n", b""):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            return status, await reader.readexactly(length)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0, b""


# --- Databases -------------------------------------------------------------------------------------------------------

class Commit:
    __slots__ = ("term", "number", "writes")

    def __init__(self, term, number, writes):
        self.term, self.number, self.writes = term, number, writes

    @property
    def position(self):
        return self.term, self.number


class Session:
    def __init__(self, writer):
        self.writer = writer
        self.state = "I"
        self.read_only = False
        self.writes = []
        self.prepared = {}


class Database:
    """One database of a service, on the wire of PROTOCOL.md."""

    def __init__(self, service, name, port):
        self.service, self.id, self.port = service, name, port
        self.address = f"127.0.0.1:{port}"
        self.log, self.term, self.held, self.primary = [], 1, 0, False
        self.running = self.deaf = False
        self.state, self.seq, self.born = "ready", 0, 0
        self.server, self.sessions, self.busy, self.life = None, set(), 0, 0
        self.signed = 0
        self.beat_now = asyncio.Event()

    @property
    def end(self):
        return self.log[-1].position if self.log else (0, 0)

    async def start(self):
        self.life += 1
        self.running, self.state, self.seq, self.held = True, "ready", 0, 0
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=2 << 20)
        asyncio.ensure_future(self.send_heartbeats(self.life))

    def stop(self):
        """Ends at once, as a crash does; the log stays here unless the caller drops it."""
        self.running = False
        self.life += 1
        self.held = self.busy = 0
        if self.server:
            self.server.close()
        for session in list(self.sessions):
            session.writer.transport.abort()

    # Heartbeats

    async def send_heartbeats(self, life):
        target = None
        while self.running and self.life == life:
            self.seq += 1
            target = await self.beat(target)
            self.beat_now.clear()
            try:
                await asyncio.wait_for(self.beat_now.wait(), HEARTBEAT_S)
            except asyncio.TimeoutError:
                pass

    def beat_body(self):
        return {"Service": self.service.name, "Address": self.address, "Zone": "stage", "Version": "v1",
                "Slots": self.service.slots, "State": self.state, "ColdLeftMs": 0,
                "DbRole": "primary" if self.primary else "replica", "Seq": self.seq, "born": self.born}

    async def beat(self, target):
        state, body = self.state, json.dumps(self.beat_body()).encode()
        stage = self.service.stage
        others = random.sample(stage.controls, len(stage.controls))
        for endpoint in ([target] if target else []) + others:
            status, answer = await http_call(endpoint, "POST", f"/Instances.Heartbeat/{self.id}", body)
            if 200 <= status < 300:
                if state != "ready" or self.seq == 1:
                    stage.record(f"heartbeat of {self.id} acknowledged: {body.decode()}")
                self.service.acknowledged[self.id] = state
                return json.loads(answer or b"{}").get("BeatAddr")
        stage.record(f"heartbeat of {self.id} not acknowledged")
        return None

    async def leave(self):
        stage = self.service.stage
        for _ in range(20):
            status, _ = await http_call(random.choice(stage.controls), "POST", f"/Instances.Leave/{self.id}")
            if 200 <= status < 300:
                stage.record(f"leave of {self.id} acknowledged", True)
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"the leave of {self.id} was not acknowledged")

    # The wire

    async def serve(self, reader, writer):
        session, life = Session(writer), self.life
        self.sessions.add(session)
        try:
            await self.serve_session(reader, session, life)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.sessions.discard(session)
            writer.close()

    async def serve_session(self, reader, session, life):
        words = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n").split(" ")
        if words[0] != "START" or len(words) < 3:
            return
        if words[1] != self.service.name or (len(words) > 3 and words[3] != self.id):
            session.writer.write(f"ERR MISROUTED {self.id}\r\n".encode())
            return
        if len(self.sessions) > self.service.max_conns:
            session.writer.write(f"ERR TOOMANY {self.id}\r\n".encode())
            return
        await asyncio.sleep(HANDSHAKE_S)
        session.writer.write(self.ready(session).encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
            if line == "BYE" or not line.startswith("QUERY "):
                return
            _, name, text = line.split(" ", 2)
            answer = await self.run(session, name, text, life)
            if answer is None or life != self.life:
                session.writer.transport.abort()
                return
            session.writer.write(answer.encode())
            await session.writer.drain()

    def ready(self, session):
        return f"READY {session.state} {self.end[0]}.{self.end[1]}\r\n"

    def error(self, session, code, text):
        return f"ERR {code} {text}\r\n" + self.ready(session)

    def done(self, session, name):
        self.signed += 1
        return f"DONE {self.id}.{name}.{self.signed:x}\r\n" + self.ready(session)

    async def run(self, session, name, text, life):
        words = text.split(" ")
        if words[0] in ("SET", "RESET", "FORGET"):
            if words[0] == "RESET":
                session.prepared = {}
            return "DONE -\r\n" + self.ready(session)
        if words[0] == "PREPARE":
            session.prepared[words[1]] = words[2]
            return "DONE -\r\n" + self.ready(session)
        if words[0] in ("HOLD", "DEMOTE", "RESUME"):
            return self.order(session, words)
        if words[0] == "STATUS" and self.busy >= self.service.slots:
            return self.error(session, "BUSY", self.id)
        if words[0] == "STATUS":
            return self.status_row() + self.ready(session)
        if session.state == "E" and words[0] != "ROLLBACK":
            return self.error(session, "BAD", "the transaction has failed")
        if words[0] == "AFTER":
            if self.end < tuple(int(part) for part in words[1].split(".")):
                return self.error(session, "BEHIND", self.id)
            words = words[2:]
        if words[0] == "EXEC":
            if words[1] not in session.prepared:
                return self.error(session, "NOSTMT", words[1])
            words = [session.prepared[words[1]], *words[2:]]
        lost_lead = session.state == "T" and not session.read_only and not self.primary
        empty_commit = words[0] == "COMMIT" and not session.writes
        if not self.primary and (words[0] == "WRITE" or words == ["BEGIN"]) or lost_lead and not empty_commit \
                and words[0] != "ROLLBACK":
            session.state = "E" if session.state == "T" else "I"
            return self.error(session, "READONLY", self.id)
        if words[0] == "BEGIN":
            session.state, session.read_only, session.writes = "T", len(words) > 1, []
            return "DONE -\r\n" + self.ready(session)
        if words[0] == "ROLLBACK":
            session.state, session.writes = "I", []
            return "DONE -\r\n" + self.ready(session)
        return await self.run_in_slot(session, name, words, life)

    async def run_in_slot(self, session, name, words, life):
        if self.busy >= self.service.slots:
            return self.error(session, "BUSY", self.id)
        self.busy += 1
        try:
            await asyncio.sleep(self.service.read_s if words[0] == "READ" else self.service.work_s)
            if life != self.life:
                return None
            if words[0] == "READ":
                value = "none"
                for commit in reversed(self.log):
                    found = [data for thing, data, _ in commit.writes if thing == words[1]]
                    if found:
                        value = found[-1]
                        break
                return f"ROW {value}\r\n" + self.done(session, name)
            if words[0] == "WRITE" and session.state == "T":
                session.writes.append((words[1], " ".join(words[2:]), name))
                return self.done(session, name)
            if words[0] not in ("WRITE", "COMMIT"):
                return self.error(session, "BAD", words[0])
            writes = [(words[1], " ".join(words[2:]), name)] if words[0] == "WRITE" else session.writes
            session.state, session.writes = "I", []
            if not writes:
                return self.done(session, name)
            if not self.primary:
                return self.error(session, "READONLY", self.id)
            commit = Commit(self.term, self.end[1] + 1, writes)
            self.log.append(commit)
            while not self.service.has_receipt(self, commit):
                await asyncio.sleep(0.001)
                if life != self.life or not self.primary:
                    return None
            return self.done(session, name)
        finally:
            if life == self.life:
                self.busy -= 1

    def order(self, session, words):
        term = int(words[1]) if len(words) > 1 else 0
        if words[0] == "HOLD" and term > max(self.term, self.held) and not self.primary:
            self.held = term
        elif words[0] == "DEMOTE" and term > self.term and self.primary:
            self.primary = False
        elif words[0] == "RESUME":
            self.held = 0
        self.service.stage.record(f"{self.id} took {' '.join(words)}; it has {len(self.log)} commits")
        return self.status_row() + self.ready(session)

    def status_row(self):
        role = "primary" if self.primary else "replica"
        return f"ROW {role} {self.term} {self.end[0]}.{self.end[1]} {self.held} 0 {self.busy} " \
               f"{len(self.sessions)}\r\nDONE -\r\n"


class Service:
    """A primary and its replicas: replication with SyncReplicas 1, and promotions."""

    def __init__(self, stage, name, count=3, slots=2, max_conns=16, work_s=0.0045, read_s=0.022):
        self.stage, self.name = stage, name
        self.slots, self.max_conns, self.work_s, self.read_s = slots, max_conns, work_s, read_s
        self.databases = [Database(self, f"i-{name}-{number}", port) for number, port in enumerate(free_ports(count))]
        self.acknowledged = {}
        self.promotions = []        # (when, database, its log when it began to lead)
        self.replaced_since = {}
        self.receipts = {}          # of a commit: who received it

    async def start(self):
        self.databases[0].primary = True
        for database in self.databases:
            await database.start()
        asyncio.ensure_future(self.replicate())

    def by_id(self, name):
        return next((one for one in self.databases if one.id == name), None)

    def leader(self):
        leading = [one for one in self.databases if one.running and one.primary]
        return max(leading, key=lambda one: one.term, default=None)

    def has_receipt(self, primary, commit):
        return any(other is not primary and id(commit) in self.receipts.get(other.id, ()) for other in self.databases)

    async def replicate(self):
        while True:
            await asyncio.sleep(RECEIVE_S)
            newest = self.leader()
            for one in self.databases:
                if one.running and one.primary and newest is not one:
                    since = self.replaced_since.setdefault(one.id, time.monotonic())
                    if time.monotonic() - since >= GOES_ON_S:
                        one.primary, one.term = False, newest.term
                else:
                    self.replaced_since.pop(one.id, None)
            for replica in self.databases:
                if not replica.running or replica.primary or replica.deaf or replica.held:
                    continue
                sources = [one for one in self.databases if one.running and one.primary and one.term >= replica.term]
                source = max(sources, key=lambda one: one.term, default=None)
                if source:
                    self.receive(replica, source)

    def receive(self, replica, source):
        common = min(len(replica.log), len(source.log))
        while common > 0 and replica.log[common - 1] is not source.log[common - 1]:
            common -= 1
        del replica.log[common:]
        replica.log.extend(source.log[common:])
        replica.term = source.term
        self.receipts.setdefault(replica.id, set()).update(id(commit) for commit in source.log[common:])

    async def promote(self, name):
        await asyncio.sleep(PROMOTE_S)
        chosen = self.by_id(name)
        if not chosen.running:
            return
        newest = max(one.term for one in self.databases) + 1
        chosen.primary, chosen.term, chosen.held = True, newest, 0
        for one in self.databases:
            if one is not chosen and not one.primary:
                one.held = 0
                one.term = newest
        self.promotions.append((time.monotonic(), chosen, list(chosen.log)))
        self.stage.record(f"{name} leads term {newest} with {len(chosen.log)} commits", True)
        for one in self.databases:
            one.beat_now.set()


# --- Clients ---------------------------------------------------------------------------------------------------------

class Client:
    """A session of a client; `ask` returns the whole answer or None when the connection ended."""

    def __init__(self, endpoint, database, who):
        self.endpoint, self.database, self.who = endpoint, database, who
        self.reader = self.writer = None

    async def open(self, limit=2.0):
        host, port = self.endpoint.rsplit(":", 1)
        try:
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=2 << 20)
            self.writer.write(f"START {self.database} {self.who}\r\n".encode())
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit)
            if line.startswith(b"READY "):
                return True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.close()
        return False

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def ask(self, name, text, limit=5.0):
        try:
            self.writer.write(f"QUERY {name} {text}\r\n".encode())
            lines = []
            while True:
                line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit)).decode().rstrip("\r\n")
                lines.append(line)
                if line.startswith("READY "):
                    return lines
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None


def succeeded(answer):
    return bool(answer) and answer[-2].startswith("DONE ")


# --- The system under review -----------------------------------------------------------------------------------------

class Stage:
    """The platform: machines, the operator and the call to promote; starts and ends the programs under review."""

    def __init__(self, record, fronts=3, cores=5):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="pipitpond-review-")
        self.services, self.processes, self.fronts, self.readiness = [], {}, [], []
        self.control_port, self.first_port = free_ports(2)
        self.core_ips = [f"127.0.0.{11 + number}" for number in range(cores)]
        self.front_ips = [f"127.0.0.{51 + number}" for number in range(fronts)]
        self.controls = [f"{ip}:{self.control_port}" for ip in self.core_ips]
        self.platform_address = None
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)

    async def start(self):
        server = await asyncio.start_server(self.serve_platform, "127.0.0.1", 0)
        self.platform_address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        roles = self.deploy["roles"]
        for ip in self.core_ips:
            self.start_process("control", roles["control"], ip, {"Control": f"{ip}:{self.control_port}"})
        for ip in self.front_ips:
            front, ready = free_ports(2, ip)
            self.fronts.append(f"{ip}:{front}")
            self.readiness.append(f"{ip}:{ready}")
            self.start_process("proxy", roles["proxy"], ip, {"Front": f"{ip}:{front}", "Readiness": f"{ip}:{ready}"})

    def settings(self, ip, listen, core):
        return {"Node": "core-" + ip if core else "front-" + ip, "Ip": ip, "Zone": "stage", "Region": "r",
                "Listen": listen, "PortRange": [self.first_port, self.first_port + 15], "Seeds": self.controls[:3],
                "Bootstrap": core, "LossCounts": core, "DataDir": os.path.join(self.folder, "data-" + ip),
                "HeartbeatMs": 1200, "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
                "Bounds": {"DrainMs": 7000, "GraceS": 6, "ConfigMs": 3000, "ContactMs": 4000, "Fencing": False},
                "CloudApi": {"Address": self.platform_address, "Duties": ["promotion"], "DutyPerS": 50.0}}

    def start_process(self, role, described, ip, listen):
        core = role == "control"
        with open(os.path.join(ROOT, described["template"]), encoding="utf-8") as file:
            filled = fill(file.read(), [self.settings(ip, listen, core)])
        path = os.path.join(self.folder, f"{role}-{ip}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(filled)
        program, *arguments = described["run"].split()
        program = os.path.join(ROOT, program)
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{program} is missing: run the build of deploy/system.toml first")
        arguments = [path if one == "/etc/pipitpond/local.yaml" else one for one in arguments]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PIPITPOND_CONFIG"] = path
        log = os.open(path + ".log", os.O_CREAT | os.O_APPEND | os.O_WRONLY)
        pid = os.posix_spawn(program, [program, *arguments], environment,
                             file_actions=[(os.POSIX_SPAWN_DUP2, log, 1), (os.POSIX_SPAWN_DUP2, log, 2)])
        os.close(log)
        self.processes[ip] = pid
        shown = [os.path.basename(one) if one == path else one for one in [described["run"].split()[0], *arguments]]
        self.record(f"started {role} at {ip}: {' '.join(shown)}")

    def ended_processes(self):
        """Addresses of processes that ended by themselves."""
        ended = []
        for ip, pid in list(self.processes.items()):
            done, status = os.waitpid(pid, os.WNOHANG)
            if done:
                del self.processes[ip]
                ended.append((ip, status))
        return ended

    def stop(self):
        for pid in self.processes.values():
            os.kill(pid, signal.SIGKILL)
        for pid in self.processes.values():
            os.waitpid(pid, 0)
        self.processes = {}
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def serve_platform(self, reader, writer):
        try:
            while line := await reader.readline():
                _, path, _ = line.decode().split(" ", 2)
                length, headers = 0, {}
                while (header := await reader.readline()) not in (b"\r\n", b""):
                    name, value = header.decode().split(":", 1)
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(length) or b"{}")
                status = self.order(path, body, headers)
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n".encode())
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def order(self, path, body, headers):
        self.record(f"platform was asked: {path} {body} holder {headers.get('x-duty-holder')} token "
                    f"{headers.get('x-fence-token')}", True)
        service = next((one for one in self.services if one.name == body.get("Service")), None)
        chosen = service.by_id(body.get("Id")) if service else None
        if path != "/promote" or chosen is None or not chosen.running:
            return 409
        if not chosen.primary:
            asyncio.ensure_future(service.promote(chosen.id))
        return 200

    # The operator

    def configuration(self, version, timeout_ms=800):
        routes = []
        for service in self.services:
            for kind, extra in (("primary", {}), ("bounded", {"MaxStalenessMs": 1500}),
                                ("session", {"MaxStalenessMs": 2500})):
                routes.append({"Name": f"r-{service.name}-{kind}", "Host": f"{service.name}{kind}", "PathPrefix": "/",
                               "Kind": kind, "TimeoutMs": timeout_ms, "GoalMs": 200, "Priority": 1,
                               "Service": service.name, "MaxAttempts": 2, **extra})
        services = [{"Name": service.name, "HealthPath": "/health", "MaxConns": service.max_conns, "Protocol": "h1",
                     "Tls": False, "SyncReplicas": 1} for service in self.services]
        return {"Version": version, "Routes": routes, "Services": services,
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                           "IdleTimeoutMs": 15000, "TxIdleMs": 3000}}

    async def put_configuration(self, version, **options):
        body = json.dumps(self.configuration(version, **options)).encode()
        for _ in range(100):
            status, _ = await http_call(random.choice(self.controls), "POST", "/Config.Put", body)
            if status == 200:
                self.record(f"configuration {version} acknowledged", True)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    async def wait_until_served(self, limit=30.0):
        """Every front is ready and takes a write for each service."""
        end = time.monotonic() + limit
        for front, ready in zip(self.fronts, self.readiness):
            for service in self.services:
                while True:
                    if time.monotonic() > end:
                        raise CannotRun(f"{front} did not serve {service.name} in time")
                    client = Client(front, f"{service.name}primary", "probe")
                    status, _ = await http_call(ready, "GET", "/ready")
                    served = status == 200 and await client.open() and succeeded(await client.ask("c0ffee", "WRITE a b"))
                    client.close()
                    if served:
                        break
                    await asyncio.sleep(0.1)


def end_on_signal(*_):
    raise KeyboardInterrupt         # Not an Exception: no task keeps it for itself.


def play(scenario, folder, **options):
    """Runs `scenario(stage, record, trouble)`, which returns the broken rules, and ends with the case's exit code."""
    signal.signal(signal.SIGTERM, end_on_signal)
    code, stage, record = 2, None, print
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        record = Record(os.path.join(folder, "record.txt"))
        stage = Stage(record, **options)
        broken = asyncio.run(asyncio.wait_for(scenario(stage, record, trouble), LIMIT_S))
        record(f"processes under review that ended by themselves: {stage.ended_processes() or 'none'}", True)
        for text in broken:
            record(f"BROKEN: {text}", True)
        record(f"{len(broken)} breaks of rules, trouble {'on' if trouble else 'off'}", True)
        code = 1 if broken else 0
    except (Exception, KeyboardInterrupt) as error:     # Whatever it is, it shows nothing about the rule.
        record(f"the case can't run: {type(error).__name__} {error}", True)
    finally:
        if stage:
            stage.stop()
    sys.exit(code)
