"""Starts a fleet of separate processes on loopback: stand-ins in one process, one `serve` process per VM."""

import json
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = ROOT / "target/release/plantainmill"
OPERATOR_KEY = "operator-key-for-measurements"
READY_LIMIT_S = 120


def free_ports(count):
    """Ports that are free now; the sockets are closed before the ports are used."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def call(method, url, body=None, key=None, headers=None, timeout=20):
    """Sends JSON and gives status and decoded answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method, headers={"content-type": "application/json", **(headers or {})})
    if key:
        request.add_header("authorization", f"Bearer {key}")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            text = answer.read().decode()
            status = answer.status
    except urllib.error.HTTPError as error:
        text = error.read().decode()
        status = error.code
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


class Vm:
    """One `serve` process."""

    def __init__(self, directory, index, domain, region, ports, platform):
        self.id = f"vm-{index + 1}"
        self.domain = domain
        self.region = region
        self.mesh = f"127.0.0.1:{ports[2]}"
        self.callers = f"http://127.0.0.1:{ports[0]}"
        self.operators = f"http://127.0.0.1:{ports[1]}"
        self.path = directory / f"{self.id}.toml"
        self.path.write_text(
            f'[vm]\nid = "{self.id}"\nregion = "{region}"\ndomain = "{domain}"\n'
            f'[listen]\ncallers = "127.0.0.1:{ports[0]}"\noperators = "127.0.0.1:{ports[1]}"\nmesh = "{self.mesh}"\n'
            f'[platform]\ntable = "{platform}"\nobjects = "{platform}"\n'
            f'[secrets]\noperator_keys_file = "operators.txt"\nfleet_secrets_file = "fleet.txt"\n'
            f"[limits]\nworkers = 1\nbalancer_wait_ms = 100\n"
        )
        self.log = (directory / f"{self.id}.log").open("w")
        self.process = None

    def start(self):
        self.process = subprocess.Popen([BINARY, "--log", "warn", "serve", "--settings", self.path], stderr=self.log)

    def is_ready(self):
        try:
            return call("GET", f"{self.callers}/readyz", timeout=2)[0] == 200
        except OSError:
            return False

    def metrics(self):
        """All counters, summed over their labels."""
        with urllib.request.urlopen(f"{self.operators}/metrics", timeout=5) as answer:
            lines = answer.read().decode().splitlines()
        totals = {}
        for line in lines:
            if not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                totals[name] = totals.get(name, 0.0) + float(value)
        return totals

    def usage(self):
        """Processor seconds and resident bytes so far."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        ticks = int(stat[11]) + int(stat[12])
        return ticks / 100.0, int(stat[21]) * 4096


class Fleet:
    """Stand-ins and VMs. Use it as a context manager."""

    def __init__(self, vms, domains=3, engines=3, fleet_file=""):
        self.directory = pathlib.Path(tempfile.mkdtemp())
        (self.directory / "operators.txt").write_text(f"measure {OPERATOR_KEY}\n")
        (self.directory / "fleet.txt").write_text("fleet-secret-for-measurements\n")
        self.count = vms
        self.domains = domains
        self.engines = engines
        self.fleet_file = fleet_file
        self.vms = []
        self.keys = {}

    def __enter__(self):
        command = [BINARY, "--log", "warn", "dev", "--vms", "0", "--engines", str(self.engines), "--json"]
        self.stands = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.info = json.loads(self.stands.stdout.readline())
        ports = free_ports(3 * self.count)
        for index in range(self.count):
            domain = index % self.domains
            region = "central" if domain < max(1, self.domains - 1) else "southern"
            vm = Vm(self.directory, index, f"domain-{domain}", region, ports[3 * index : 3 * index + 3], self.info["platform"])
            self.vms.append(vm)
            vm.start()
        entries = [{"id": vm.id, "domain": vm.domain, "region": vm.region, "mesh": vm.mesh, "state": "live"} for vm in self.vms]
        call("PUT", f"{self.info['platform']}/vms", {"vms": entries})
        self.wait(lambda: all(vm.is_ready() for vm in self.vms))
        self.apply(self.info["fleet_file"] + self.fleet_file)
        return self

    def __exit__(self, *_):
        for vm in self.vms:
            vm.process.send_signal(signal.SIGTERM)
        codes = {vm.id: vm.process.wait() for vm in self.vms}
        self.stands.send_signal(signal.SIGTERM)
        self.stands.wait()
        failed = {vm: code for vm, code in codes.items() if code not in (0, -9)}
        if failed:
            print("processes that did not stop cleanly:", failed)

    def wait(self, condition):
        start = time.monotonic()
        while not condition():
            if time.monotonic() - start > READY_LIMIT_S:
                raise SystemExit("the fleet did not become ready")
            time.sleep(0.05)

    def operator(self, method, path, body=None, vm=0):
        # A fleet file of 23,000 organisations goes in as 90 changes, one after the other.
        return call(method, f"{self.vms[vm].operators}/admin/v1/{path}", body, OPERATOR_KEY, {"if-match": "*"}, timeout=180)

    def apply(self, text):
        status, answer = self.operator("POST", "apply", {"file": "fleet.toml", "toml": text, "reason": "measurement"})
        if status != 200:
            raise SystemExit(f"the fleet file was refused: {answer}")
        return answer

    def issue_key(self, organisation):
        status, answer = self.operator("POST", f"organisations/{organisation}/keys", {"label": "measure", "reason": "measurement"})
        if status != 200:
            raise SystemExit(f"no key: {answer}")
        self.keys[organisation] = answer["secret"]
        return answer

    def counts(self):
        """Calls of the platform so far."""
        return call("GET", f"{self.info['platform']}/counts")[1]

    def endpoints(self):
        """What `plantainmill bench run --endpoints` reads."""
        return {"callers": [vm.callers for vm in self.vms], "organisations": self.keys}
