"""LEAVE while half of the servers are silent by turns: requests that are still out come up, and the proxy is held up
for 0.13 s, within which it has to stop taking requests."""

import os
import signal
import socket
import struct
import sys
import threading
import time

CASE_DIR = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE_DIR))
from standins import *

# All times in seconds after the call LEAVE. By the page no client may be held at 4 s; 0.05 s is the slack of sockets.
SEND_AT, JUDGE_AT = 0.15, 4.05
# One half of the servers is silent until TURN_AT, then back, with the connections that it had reset; from then on the
# other half hangs. Of that some go on just before the proxy is held up, the others meanwhile.
TURN_AT, FIRST_AT, SECOND_AT, CONTINUE_AT = 2.50, 3.43, 3.45, 3.56
CLIENTS, SERVERS, ROUNDS = 110, 16, 7

case = Case(CASE_DIR)
record = case.record
left_at = None
waiting, waiting_lock = [], threading.Lock()


class TurningServer(Server):
    """A server that is silent during one of the two turns. Between the turns it answers at once."""

    def __init__(self, record, uid, turn):
        self.turn = turn
        super().__init__(record, uid)

    def is_silent(self):
        since = time.monotonic() - (left_at or float("inf"))
        return (-0.2 < since < TURN_AT) if self.turn == 1 else (TURN_AT <= since < FIRST_AT)

    def serve(self, stream):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request = None
        try:
            for line in stream.makefile("rb"):
                text = line.decode("ascii", "replace").rstrip("\r\n")
                if text.startswith("OPEN "):
                    request = text.split(" ")[1]
                    self.opened.append((now(), request))
                    record("server %s runs request %s (%s)" % (self.uid, request, text.split(" ")[3]))
                if self.is_silent() and self.turn == 1:
                    time.sleep(max(0.0, left_at + TURN_AT - time.monotonic()))
                    record("server %s is back and resets %s" % (self.uid, request or "a probe"))
                    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    break
                if self.is_silent() and request:
                    with waiting_lock:
                        waiting.append((self, stream, request))
                elif text.startswith("OPEN "):
                    stream.sendall(b"UP 77aa%s\r\n" % request.encode())
                elif text == "STATS":
                    stream.sendall(b"PONG rif=1,x0=0.02\r\n")
                else:
                    stream.sendall(line)
        except OSError:
            pass
        if request:
            record("server %s: connection of %s has ended" % (self.uid, request))
        stream.close()


def go_on(answers, halfway=None):
    """Servers go on: each sends its `UP`s."""
    for number, (_, stream, request) in enumerate(answers):
        try:
            stream.sendall(b"UP 77aa%s\r\n" % request.encode())
        except OSError:
            pass
        if halfway and number == len(answers) // 2:
            halfway()
    record("the servers have sent %d times UP, the last %.4f s after LEAVE" % (
        len(answers), time.monotonic() - left_at))


def sleep_until(at):
    """Waits until so many seconds after LEAVE; the last 5 ms without sleeping."""
    time.sleep(max(0.0, left_at + at - 0.005 - time.monotonic()))
    while time.monotonic() < left_at + at:
        pass


servers = [TurningServer(record, "s-%d" % n, 1 + n % 2) for n in range(SERVERS)]
discovery = Discovery(record, [target(server.uid, server.port, kind="std-4core", zone="casablanca")
                               for server in servers])
listen, management = free_port(), free_port()
one_class = {"group": "all", "late-worth": 0.0, "stream": True, "window-s": 5.0, "idempotency": "pure"}
classes = [dict(one_class, **{"name": name, "target-s": target_s, "deadline-s": deadline_s, "credit": credit})
           for name, target_s, deadline_s, credit in (
               ("feed-sync", 0.3, 1.8, 1.0), ("mentor-chat", 0.3, 1.2, 5.0),
               ("directory-sync", 0.8, 4.8, 1.0), ("event-checkin", 0.5, 3.0, 3.0))]
the_settings = settings(classes=classes, zone="casablanca", azs=["casablanca", "rabat"],
                        skus=["fast-3core", "std-4core"], reporting={"fields": ["rif", "x0"], "source": "probe"})
the_settings["rules"].update({"drain-grace-s": 1.0, "cold-from": 0.15, "cold-s": 22.0, "overload-for-s": 3.0})
the_settings["permissions"].update({"max-attempts": 5, "retry-after": True, "max-retry-after-s": 2.0,
                                    "connect-timeout-s": 0.2})
proxy = case.start_proxy("n1", proxy_config("n1", listen, discovery.port, management, the_settings))
if not wait_until(lambda: answers_ping(listen), 10):
    case.end(2, "the proxy is not ready")
time.sleep(2.0)  # the first probes
lines = {}


def client(request):
    """Connects before LEAVE, sends its request, reads until the end, and sends a line every 2 s while it is up."""
    got = lines[request]
    stream = socket.create_connection(("127.0.0.1", listen), 2.0)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    time.sleep(max(0.0, left_at + SEND_AT - time.monotonic()))
    stream.settimeout(20.0)
    try:
        stream.sendall(b"OPEN %s 7f3a9c21e0b4d655 c=directory-sync,d=4800,g=%s\r\n" % (request.encode(), request.encode()))
        record("client %s sent its request" % request)
        for line in stream.makefile("rb"):
            line = line.decode("ascii", "replace").rstrip("\r\n")
            record("client %s got %s" % (request, line))
            got.append(line)
            if line.startswith("UP "):
                threading.Thread(target=talk, args=(stream,), daemon=True).start()
    except OSError as error:
        record("client %s: %s" % (request, error))
    got.append("end")
    record("client %s: its connection has ended" % request)
    stream.close()


def talk(stream):
    try:
        while True:
            stream.sendall(b"HELLO\r\n")
            time.sleep(2.0)
    except OSError:
        pass


def play(round_number):
    """One LEAVE, judged at 4 s, and one JOIN. Returns what was broken, or None."""
    global left_at
    waiting.clear()
    requests = ["%016x" % (0x9B1F03AA5C7E0000 + 0x100 * round_number + number) for number in range(CLIENTS)]
    lines.update((request, []) for request in requests)
    left_at = time.monotonic() + 0.5
    for request in requests:
        threading.Thread(target=client, args=(request,), daemon=True).start()
    time.sleep(max(0.0, left_at - time.monotonic()))
    answer = call(management, "LEAVE")
    record("round %d: LEAVE: %s, %.4f s after the call" % (round_number, answer, time.monotonic() - left_at))
    if not answer.startswith("200"):
        case.end(2, "LEAVE was not taken")
    sleep_until(FIRST_AT)
    with waiting_lock:
        answers = list(waiting)
    half = len(answers) // 2
    is_judged = True
    stopped_at = time.monotonic()
    go_on(answers[:half], (lambda: os.kill(proxy.pid, signal.SIGSTOP)) if case.trouble else None)
    if case.trouble:
        record("SIGSTOP to the proxy, in the middle of these")
    sleep_until(SECOND_AT)
    go_on(answers[half:])
    sleep_until(CONTINUE_AT)
    if case.trouble:
        proxy.send_signal(signal.SIGCONT)
        stopped_s = time.monotonic() - stopped_at
        record("SIGCONT to the proxy, held up for %.3f s" % stopped_s)
        is_judged = stopped_s <= 0.15
    time.sleep(max(0.0, left_at + JUDGE_AT - time.monotonic()))
    seen = {request: list(lines[request]) for request in requests}
    up = [request for request in requests if any(line.startswith("UP ") for line in seen[request])]
    held = [request for request in up if "MOVE" not in seen[request] and "end" not in seen[request]]
    cut = [request for request in up if "MOVE" not in seen[request] and "end" in seen[request]]
    unanswered = [request for request in requests if seen[request] in ([], ["end"])]
    record("%.2f s after LEAVE: up %d, held and not moved %s, cut off without MOVE %s, no answer %s" % (
        time.monotonic() - left_at, len(up), held, cut, unanswered))
    is_judged = is_judged and len(answers) >= 4
    if not is_judged:
        record("this round is not judged: the machine was too busy, or too few requests were out")
    judged.append(is_judged)
    if is_judged and (held or cut or unanswered):
        return "in round %d, with %d clients up, %d were cut off without MOVE, %d held at 4 s, %d not answered" % (
            round_number, len(up), len(cut), len(held), len(unanswered))
    record("JOIN: %s" % call(management, "JOIN"))
    time.sleep(2.0)
    if not answers_ping(listen):
        return "in round %d, the proxy says no 2 s after JOIN" % round_number
    time.sleep(7.0)  # the servers are believed again
    return None


judged = []
for round_number in range(1, ROUNDS + 1):
    broken = play(round_number)
    if broken:
        case.end(1, "broken: " + broken)
if not any(judged):
    case.end(2, "no round could be judged")
case.end(0, "held: no client was cut off or held in %d rounds" % sum(judged))
