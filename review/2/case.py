"""An operator sends hundreds of changes of a large configuration; control daemons must not end by themselves."""
import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from deployment import CannotRun, Deployment, Record, configuration, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The largest dose of big_config; without trouble, the routes of a small deployment.
ROUTES = 1400 if TROUBLE else 14
SERVICES = ["huvo11a", "kafi81c"]
CHANGES = 400
# As many as the page allows.
ORDERS_AT_ONCE = 8
ENDS = 3
MACHINES_ENDED = 2
LONGEST_S = 108


def documents():
    """Returns a function that gives the document of a version; each changes the time-out of a route."""
    routes = [
        {"name": f"r-{number:07x}", "host": f"jepu{number % 40}.example", "path_prefix": f"/lepu{number}/ny{number}/",
         "type": "streaming", "timeout_ms": 5000, "slo_ms": 500, "priority": 1,
         "backends": [{"service": "huvo11a", "weight": 90}, {"service": "kafi81c", "weight": 10}],
         "max_attempts": 2, "public": False, "sticky": True, "resumable": True, "gap_target_ms": 400}
        for number in range(ROUTES)]
    rest = json.dumps(configuration(0, routes, SERVICES)).split(",", 1)[1]

    def document(version):
        changed = rest.replace('"timeout_ms": 5000', f'"timeout_ms": {5000 + version}', 1)
        return f'{{"version": {version}, {changed}'.encode()

    return document


class Platform:
    """Starts a process again a moment after it has ended by itself."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.ends = {ip: 0 for ip in deployment.ips}
        self.stopped = False
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.stopped:
            for (ip, role), status in self.deployment.ended():
                self.ends[ip] += 1
                last = self.deployment.log(ip, role).strip().splitlines()[-1]
                self.record.write(f"{role} at {ip} ended by itself with status {status}: {last}")
                time.sleep(0.3)
                if not self.stopped:
                    self.deployment.start(ip, role, first_start=False)
            time.sleep(0.05)


def play(deployment, record):
    for ip in deployment.ips:
        deployment.start(ip, "control", first_start=True)
    document = documents()
    record.write(f"configurations of {ROUTES} routes, {len(document(5))} bytes")
    if not deployment.put("/api/Config.Put", document(1), 20, timeout=4):
        raise CannotRun("the first configuration is not acknowledged")
    platform = Platform(deployment, record)
    end = time.monotonic() + LONGEST_S
    lock = threading.Lock()
    state = {"next": 1, "acked": 1}

    def operator(number):
        while time.monotonic() < end and state["next"] < CHANGES and not broken(platform):
            with lock:
                state["next"] += 1
                version = state["next"]
            # Begins with the daemon that the operator was redirected to last.
            first = deployment.redirected_to or deployment.ips[number % 3]
            ips = [first] + [ip for ip in deployment.ips if ip != first]
            if deployment.put("/api/Config.Put", document(version), 15, ips, timeout=4):
                with lock:
                    state["acked"] = max(state["acked"], version)

    threads = [threading.Thread(target=operator, args=(number,), daemon=True) for number in range(ORDERS_AT_ONCE)]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads) and time.monotonic() < end and not broken(platform):
        time.sleep(0.1)
    platform.stopped = True
    platform.thread.join()
    record.write(f"changes sent: {state['next']}, newest acknowledged: {state['acked']}")
    return platform


def broken(platform):
    return sum(count >= ENDS for count in platform.ends.values()) >= MACHINES_ENDED


def main():
    record = Record(os.path.join(FOLDER, "record.txt"))
    deployment = Deployment(record)
    try:
        platform = play(deployment, record)
        record.write(f"processes that ended by themselves: {platform.ends}")
        record.close("Fault: processes ended by themselves" if broken(platform) else "the rule held")
        return 1 if broken(platform) else 0
    except CannotRun as error:
        record.write(f"could not run: {error}")
        return 2
    finally:
        deployment.close()


sys.exit(main())
