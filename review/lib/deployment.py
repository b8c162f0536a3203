"""Starts the project's programs of a small deployment on loopback addresses, with stand-ins for its platform."""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.2


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self._closed = False

    def close(self, text):
        """Writes the last line; what threads still write after it is dropped."""
        self.write(text)
        self._closed = True

    def write(self, text):
        with self._lock:
            if self._closed:
                return
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()


class CannotRun(Exception):
    """The case could not be set up."""


def free_network():
    """Returns the first three numbers of a loopback network; each case takes its own."""
    return f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"


def free_port_base():
    while True:
        base = random.randrange(20000, 30000)
        try:
            for port in range(base, base + 16):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue


class Deployment:
    """Three machines of class front, each with a gateway and a control daemon, as in the deploy file."""

    def __init__(self, record, machines=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="ibisstand-review-")
        self.network = free_network()
        base = free_port_base()
        self.front_port, self.control_port, self.ready_port = base, base + 1, base + 2
        self.inner_port = base + 4
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.ips = [f"{self.network}.{number + 1}" for number in range(machines)]
        self.processes = {}
        self.redirected_to = None

    def settings(self, ip, role, seeds, first_start):
        """Fills the fields of the template deploy/settings.json for one process."""
        serves = {"gateway": "front", "control": "control"}[role]
        data = os.path.join(self.folder, f"disk-{ip}")
        os.makedirs(data, exist_ok=True)
        return {
            "process": f"front-{ip}",
            "zone": f"zone-{ip.split('.')[-1]}",
            "host": ip,
            "callers": f"{ip}:{self.front_port}" if serves == "front" else "",
            "readiness": f"{ip}:{self.ready_port}" if serves == "front" else "",
            "control": f"{ip}:{self.control_port}" if serves == "control" else "",
            "engine": "",
            "members": [f"{seed}:{self.control_port}" for seed in seeds],
            "first_start": first_start,
            "data_folder": data if serves == "control" else "",
            "first_internal_port": self.inner_port,
            "announcement_milliseconds": 1200,
            "retry_ratio": 0.2,
            "retry_fixed": 60,
            "retry_window_seconds": 10,
            "stop_seconds": 8,
        }

    def disk(self, ip):
        return os.path.join(self.folder, f"disk-{ip}")

    def start(self, ip, role, first_start, seeds=None):
        path = os.path.join(self.folder, f"{role}-{ip}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(ip, role, seeds or self.ips[:3], first_start), file)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG") if name in os.environ}
        environment["IBISSTAND_NODE_FILE"] = path
        log = open(self.log_path(ip, role), "ab")
        process = subprocess.Popen(
            self.roles[role]["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL)
        log.close()
        self.processes[(ip, role)] = process
        self.record.write(f"started {role} at {ip}, process {process.pid}")
        return process

    def log_path(self, ip, role):
        return os.path.join(self.folder, f"{role}-{ip}.log")

    def log(self, ip, role):
        with open(self.log_path(ip, role), encoding="utf-8", errors="replace") as file:
            return file.read()

    def kill(self, ip, role):
        process = self.processes[(ip, role)]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record.write(f"killed {role} at {ip}")

    def ended(self):
        """Returns the processes that ended by themselves."""
        return [(key, process.returncode) for key, process in self.processes.items() if process.poll() is not None]

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, ip, method, path, body=None, timeout=1.0, hops=2):
        """Calls control as the operator does; returns the status and body, or (0, reason) without a response."""
        connection = http.client.HTTPConnection(ip, self.control_port, timeout=timeout)
        try:
            data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
            connection.request(method, path, data, {"Content-Type": "application/json"})
            response = connection.getresponse()
            content = response.read()
            if response.status == 307 and hops > 0:
                host = response.getheader("Location").split("/")[2].split(":")[0]
                self.redirected_to = host
                return self.call(host, method, path, data, timeout, hops - 1)
            return response.status, content
        except (OSError, http.client.HTTPException) as error:
            return 0, repr(error).encode()
        finally:
            connection.close()

    def put(self, path, body, within_s, ips=None, timeout=1.0):
        """Sends an order to one daemon after the other until it is acknowledged; returns whether it was."""
        end = time.monotonic() + within_s
        order = list(ips or self.ips)
        while time.monotonic() < end:
            for ip in order:
                status, content = self.call(ip, "POST", path, body, timeout)
                self.record.write(f"operator POST {path} at {ip}: {status} {content[:80]!r}")
                if 200 <= status < 300:
                    return True
                if status in (400, 409, 412, 413, 422):
                    return False
            time.sleep(0.2)
        return False

    def wait_ready(self, ips, within_s=30):
        """Waits until each gateway reports itself ready."""
        end = time.monotonic() + within_s
        for ip in ips:
            while True:
                try:
                    connection = http.client.HTTPConnection(ip, self.ready_port, timeout=1)
                    connection.request("GET", "/api/ready")
                    if connection.getresponse().status == 200:
                        break
                except (OSError, http.client.HTTPException):
                    pass
                finally:
                    connection.close()
                if time.monotonic() > end:
                    raise CannotRun(f"the gateway at {ip} does not get ready")
                time.sleep(0.1)


class Replica:
    """A replica of a plain service: runs each request once it has read it whole, and announces itself."""

    def __init__(self, deployment, service, identifier, ip, port, work_s, record):
        self.deployment, self.service, self.identifier = deployment, service, identifier
        self.address = (ip, port)
        self.work_s, self.record = work_s, record
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = {}
        self.answered = set()
        self.lock = threading.Lock()
        self.stopped = False
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.address)
        self.listener.listen(512)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    def _accept(self):
        while not self.stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _announce(self):
        while not self.stopped:
            self.sequence += 1
            beat = {
                "service": self.service, "address": "%s:%d" % self.address, "zone": "zone-1", "version": "v1",
                "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}
            for ip in self.deployment.ips:
                status, _ = self.deployment.call(ip, "POST", f"/api/Instances.Heartbeat/{self.identifier}", beat)
                if 200 <= status < 300:
                    break
            time.sleep(HEARTBEAT_S)

    def _serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                line = stream.readline()
                if not line:
                    return
                headers = {}
                while (header := stream.readline().strip()):
                    name, value = header.decode("latin-1").split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = stream.read(int(headers.get("content-length", 0)))
                request = headers.get("ibisstand-request-id", "")
                if headers.get("ibisstand-expect-instance", self.identifier) != self.identifier:
                    connection.sendall(
                        b"HTTP/1.1 421 Misdirected\r\nIbisstand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                with self.lock:
                    self.runs[request] = self.runs.get(request, 0) + 1
                time.sleep(self.work_s)
                answer = f"{self.identifier} {request} {len(body)}".encode()
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nIbisstand-Request-Id: " + request.encode()
                    + b"\r\nIbisstand-Response-Signature: s." + request.encode()
                    + b"\r\nKeep-Alive: timeout=30\r\nContent-Length: " + str(len(answer)).encode()
                    + b"\r\n\r\n" + answer)
                with self.lock:
                    self.answered.add(request)
        except (OSError, ValueError):
            pass
        finally:
            stream.close()
            connection.close()

    def stop(self):
        self.stopped = True
        self.listener.close()


def configuration(version, routes, services, extra=None):
    """Returns a whole configuration in the platform's format."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 400, "protocol": "h1", "tls": False}
            for name in services],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        **(extra or {}),
    }


def route(name, prefix, service, kind, timeout_ms, attempts=1):
    return {
        "name": name, "host": "desk.example", "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms,
        "slo_ms": 1000, "priority": 1, "service": service, "max_attempts": attempts, "public": False,
        "sticky": False, "resumable": False}
