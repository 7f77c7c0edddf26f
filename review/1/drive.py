"""An upgrade, and a new configuration with SIGHUP while the new process waits for its list."""

import copy
import json
import os
import signal
import socket
import sys
import threading
import time

CASE_DIR = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE_DIR))
from standins import *

REQUESTS = 10
case = Case(CASE_DIR)
record = case.record
breaks = threading.Event()


class BreakingServer(Server):
    """A server that answers `UP` at once. While `breaks` is set, it runs a slot-hold request and then resets it."""

    def serve(self, stream):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            for line in stream.makefile("rb"):
                text = line.decode("ascii", "replace").rstrip("\r\n")
                if text == "STATS":
                    stream.sendall(b"PONG fail_rate=0,busy=0.1,x0=0.1\r\n")
                elif text.startswith("OPEN "):
                    request = text.split(" ")[1]
                    self.opened.append((now(), request))
                    record("server %s runs request %s (%s)" % (self.uid, request, text.split(" ")[3]))
                    if breaks.is_set() and "c=slot-hold" in text:
                        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                        record("server %s resets request %s" % (self.uid, request))
                        break
                    stream.sendall(b"UP 77aa%s\r\n" % request.encode())
                else:
                    stream.sendall(line)
        except OSError:
            pass
        stream.close()


class SlowDiscovery(Discovery):
    """Answers calls for the whole list late while `slow_s` is above 0."""

    slow_s = 0.0

    def answer(self, stream, path):
        if "after=" not in path:
            time.sleep(self.slow_s)
        super().answer(stream, path)


servers = [BreakingServer(record, "s-%d" % n) for n in (1, 2, 3, 4)]
discovery = SlowDiscovery(record, [target(server.uid, server.port) for server in servers])
listen, old_management, new_management = free_port(), free_port(), free_port()
before = proxy_config("n1", listen, discovery.port, old_management)
after = copy.deepcopy(before)
after["settings"]["request-classes"][1]["idempotency"] = "side_effect"
folder = os.path.join(case.dir, "n1")
os.mkdir(folder)
path = os.path.join(folder, "config.json")


def write(config):
    with open(path + ".new", "w") as file:
        json.dump(config, file)
    os.rename(path + ".new", path)


def start(name, management):
    return case.start(name, ["/bin/sh", "-c", run_command()], {
        "NODE_CONFIG": path, "NODE_MANAGEMENT": "127.0.0.1:%d" % management, "TMPDIR": folder,
        "VIOLETWIND_LOG": "info"})


def send(fields, wait_s=6.0):
    """One client's request. Returns the first line that it gets."""
    send.count += 1
    request = "%016x" % (0x9B1F03AA5C7E2D00 + send.count)
    with socket.create_connection(("127.0.0.1", listen), 2.0) as stream:
        stream.settimeout(wait_s)
        stream.sendall(b"OPEN %s 7f3a9c21e0b4d655 %s,g=%s\r\n" % (request.encode(), fields.encode(), request.encode()))
        try:
            answer = stream.makefile("rb").readline().decode().rstrip("\r\n")
        except OSError as error:
            answer = "(%s)" % error
    record("client %s (%s) got %s" % (request, fields, answer))
    return request, answer


send.count = 0


def new_configuration():
    write(after)
    old.send_signal(signal.SIGHUP)
    record("a new configuration: slot-hold may not be repeated; SIGHUP to the process that serves")
    return time.monotonic()


write(before)
old = start("old", old_management)
if not wait_until(lambda: answers_ping(listen), 10):
    case.end(2, "the proxy is not ready")
time.sleep(2.0)
if not send("c=slot-hold,d=3000")[1].startswith("UP "):
    case.end(2, "the proxy does not serve")
if not case.trouble:
    told_at = new_configuration()
    time.sleep(1.5)
discovery.slow_s = 1.2
new = start("new", new_management)
if case.trouble:
    time.sleep(0.5)
    health = call(new_management, "HEALTH")
    record("HEALTH of the new process: %s" % health)
    if health.startswith("200"):
        case.end(2, "the new process is ready before the new configuration")
    told_at = new_configuration()
if not wait_until(lambda: call(new_management, "HEALTH").startswith("200"), 6):
    case.end(2, "the new process says no yes within 6 s")
record("the new process says yes, %.2f s after SIGHUP" % (time.monotonic() - told_at))
old.send_signal(signal.SIGTERM)
record("SIGTERM to the old process")
killed_at = time.monotonic() + 3.7
time.sleep(max(0.0, killed_at - time.monotonic()))
if old.poll() is None:
    old.kill()
record("the old process has ended: %s" % old.wait())
record("the new configuration was there %.2f s ago; 1.2 s count" % (time.monotonic() - told_at))
breaks.set()
runs = {}
for _ in range(REQUESTS):
    request, answer = send("c=slot-hold,d=3000")
    time.sleep(0.3)
    runs[request] = sum(1 for server in servers for _, opened in server.opened if opened == request)
record("runs of each request: %s" % runs)
log = case.log_of("new") + case.log_of("old")
record("the reload in the logs: old %d, new %d" % (case.log_of("old").count(" reload "), case.log_of("new").count(" reload ")))
twice = {request: count for request, count in runs.items() if count > 1}
if not any(runs.values()):
    case.end(2, "no request reached a server")
if twice:
    case.end(1, "broken: %d of %d requests that may not be repeated ran more than once, up to %d times" % (
        len(twice), REQUESTS, max(twice.values())))
case.end(0, "held: %d requests, none ran twice" % REQUESTS)
