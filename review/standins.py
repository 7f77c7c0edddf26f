"""Stand-ins for discovery, servers and the platform, for the cases of the review. Standard library only."""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
STARTED = time.monotonic()


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - STARTED


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_command():
    """The line `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as deploy:
        return re.search(r'^run = "(.*)"$', deploy.read(), re.M).group(1)


class Record:
    """What was sent, answered and run."""

    def __init__(self, case_dir):
        self.file = open(os.path.join(case_dir, "record.txt"), "w")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%9.4f  %s\n" % (now(), text))
            self.file.flush()


class Case:
    """The temporary folder and the processes of one run. `end` ends all processes that it started."""

    def __init__(self, case_dir):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(case_dir)
        self.dir = tempfile.mkdtemp(prefix="violetwind-review-")
        self.processes = []
        self.record("trouble: %s" % ("yes" if self.trouble else "no"))

    def start(self, name, command, env=None, **options):
        """Starts a process in a process group of its own."""
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        process = subprocess.Popen(
            command, cwd=ROOT, env=dict(os.environ, **(env or {})), stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, start_new_session=True, **options)
        self.processes.append(process)
        self.record("started %s" % name)
        return process

    def start_proxy(self, name, config, env=None, log_name=None):
        """Starts one proxy by the deploy file's command, with its configuration in NODE_CONFIG."""
        path = os.path.join(self.dir, (log_name or name) + ".json")
        with open(path, "w") as file:
            json.dump(config, file)
        settings = {"NODE_CONFIG": path, "VIOLETWIND_LOG": "info", "TMPDIR": self.dir}
        for variable in ("NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_MANAGEMENT", "VIOLETWIND_CONFIG"):
            os.environ.pop(variable, None)
        settings.update(env or {})
        return self.start(log_name or name, ["/bin/sh", "-c", run_command()], settings)

    def log_of(self, name):
        with open(os.path.join(self.dir, name + ".log"), errors="replace") as file:
            return file.read()

    def end(self, code, verdict):
        self.record("verdict: %s (exit %d)" % (verdict, code))
        for process in self.processes:
            for end in (signal.SIGCONT, signal.SIGKILL):
                try:
                    os.killpg(process.pid, end)
                except ProcessLookupError:
                    pass
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.dir, ignore_errors=True)
        print(verdict)
        sys.stdout.flush()
        os._exit(code)


def settings(deadline_s=3.0, classes=None, **changes):
    """Settings of a small deployment with agenda-amba's figures, and as many proxies as `fleet-size` says."""
    value = {
        "fleet-size": 1, "me": 0, "zone": "pacheco", "azs": ["pacheco", "ezeiza", "la-plata"],
        "skus": ["c2-fast", "c4-std", "c2-slow"], "orgs": [],
        "request-classes": classes or [
            {"name": "agenda-view", "idempotency": "pure", "deadline-s": 2.0, "target-s": 0.5, "credit": 2.0,
             "group": "all", "late-worth": 0.0, "stream": True, "window-s": 5.0},
            {"name": "slot-hold", "idempotency": "pure", "deadline-s": deadline_s, "target-s": 0.5, "credit": 6.0,
             "group": "all", "late-worth": 0.0, "stream": True, "window-s": 5.0}],
        "reporting": {"fields": ["fail_rate", "busy", "x0"], "source": "probe"},
        "permissions": {"probes": True, "cancel": True, "retry-after": False, "max-attempts": 6,
                        "max-retry-after-s": 1.5, "connect-timeout-s": 0.12, "second-copies": False,
                        "peer-messages": False, "conn-idle-s": 30.0},
        "membership-mode": "on_request",
        "rules": {"answer-slack-s": 0.02, "ask-within-s": 10.0, "cold-from": 0.31, "cold-s": 7.2,
                  "drain-grace-s": 0.3, "fall-multiple": 3.0, "overload-for-s": 1.5},
        "prices": {"cross-zone": 0.08, "probe": 0.0023, "moves": 0.019},
        "weights": "rough", "service-type": "conn", "value-by": "request", "over-share-worth": 0.1,
        "family-info": {"groups": True, "mode": "proxy", "message-aim-s": [0.15, 0.15], "tells-load": True,
                        "tells-delay": True},
    }
    value.update(changes)
    return value


def proxy_config(name, listen, discovery, management=None, the_settings=None, known=None):
    config = {
        "name": name, "listen": "127.0.0.1:%d" % listen, "discovery": "127.0.0.1:%d" % discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known or {"rev": 0, "all": True, "targets": []},
        "settings": the_settings or settings(),
    }
    if management:
        config["management"] = "127.0.0.1:%d" % management
    return config


def target(uid, port, state="ready", kind="c4-std", zone="pacheco"):
    return {"uid": uid, "endpoint": "127.0.0.1:%d" % port, "az": zone, "model": kind, "pod_group": 1,
            "state": state, "capacity_hint": 1.0, "boot_ms": 0}


class Discovery:
    """The list of servers over HTTP/1.1: the whole list, or a watch."""

    def __init__(self, record, targets, name="discovery"):
        self.record, self.name = record, name
        self.changed = threading.Condition()
        self.rev = 41
        self.rows = {row["uid"]: (self.rev, row) for row in targets}
        self.closed = False
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.connections = []
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, row):
        """A change of the list: a row that is new, draining or gone."""
        with self.changed:
            self.rev += 1
            self.rows[row["uid"]] = (self.rev, row)
            self.changed.notify_all()

    def accept(self):
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(stream)
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream):
        buffer = b""
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = stream.recv(4096)
                    if not data:
                        return
                    buffer += data
                head, buffer = buffer.split(b"\r\n\r\n", 1)
                path = head.split(b" ")[1].decode()
                self.answer(stream, path)
        except OSError:
            pass

    def answer(self, stream, path):
        after = re.search(r"after=(\d+)", path)
        wait = re.search(r"wait_ms=(\d+)", path)
        with self.changed:
            if after:
                after = int(after.group(1))
                until = time.monotonic() + (int(wait.group(1)) if wait else 0) / 1000
                while self.rev <= after and time.monotonic() < until:
                    self.changed.wait(until - time.monotonic())
                rows = [row for rev, row in self.rows.values() if rev > after]
            else:
                rows = [row for _, row in self.rows.values() if row["state"] != "gone"]
            body = json.dumps({"rev": self.rev, "all": not after, "targets": rows}).encode()
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        stream.sendall(head.encode() + body)
        self.record("%s told %s" % (self.name, [(row["uid"], row["state"]) for row in rows]))


class Server:
    """A server. `up_after` says for each request, by its fields, after how many seconds it gets its `UP`."""

    def __init__(self, record, uid, up_after=lambda fields: 0.0):
        self.record, self.uid, self.up_after = record, uid, up_after
        self.opened = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request = None
        try:
            for line in stream.makefile("rb"):
                text = line.decode("ascii", "replace").rstrip("\r\n")
                if text in ("PING", "STATS"):
                    stream.sendall(b"PONG fail_rate=0,busy=0.1,x0=0.1\r\n")
                elif text.startswith("OPEN "):
                    request = text.split(" ")[1]
                    fields = dict(pair.partition("=")[::2] for pair in text.split(" ")[3].split(","))
                    self.opened.append((now(), request))
                    self.record("server %s runs request %s (%s)" % (self.uid, request, text.split(" ")[3]))
                    time.sleep(max(0.0, self.up_after(fields)))
                    stream.sendall(b"UP 77aa%s\r\n" % request.encode())
                    self.record("server %s answers UP to %s" % (self.uid, request))
                else:
                    stream.sendall(line)
        except OSError:
            pass
        if request:
            self.record("server %s: connection of %s has ended" % (self.uid, request))
        stream.close()


def call(port, line, timeout=2.0):
    """One operators' call. Returns the answer, or an empty text if there is none."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout) as stream:
            stream.sendall(line.encode() + b"\n")
            return stream.makefile().readline().strip()
    except OSError:
        return ""


def wait_until(condition, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.02)
    return False


def answers_ping(port):
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as stream:
            stream.settimeout(1.0)
            stream.sendall(b"PING\r\n")
            return stream.makefile().readline().strip() == "PONG"
    except OSError:
        return False
