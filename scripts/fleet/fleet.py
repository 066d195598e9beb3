"""The demo's fleet: emulators, three routers, configuration, customers."""

import json
import subprocess
import time

from processes import Failure, Processes, call

READY_SECONDS = 20
FAILURE_DOMAINS = ["sala-norte", "sala-sur", "bodega-taller"]
ENGINES = {"asistente-1": "asistente", "asistente-2": "asistente",
           "guide-1": "guide-llm", "guide-2": "guide-llm"}
SERVICES = {"taller-app-1": "taller-app", "asset-svc-1": "asset-svc"}

# name: (policy, paid tokens, site)
BUDGETS = {
    "taller-xela": ("false_refusals_first", 4_000_000, "ruedaviva"),
    "familia-lopez": ("false_refusals_first", 6_000, "ruedaviva"),
    "agency-hangang": ("overspend_first", 4_000_000, "guild"),
}
RUNS_OUT = "familia-lopez"


def engine_settings(name):
    return {"listen": "127.0.0.1:0", "name": name, "model": ENGINES[name],
            "slots": 64, "first_token_ms": 30, "token_ms": 20}


def router_settings(vm, failure_domain, platform, folder):
    return {"vm": vm, "failure_domain": failure_domain,
            "listen": "127.0.0.1:0", "platform": platform,
            "spans_file": str(folder / f"{vm}.spans"),
            "config_poll_ms": 250, "balancer_lag_ms": 500,
            "recovery_interval_ms": 500, "vm_list_lag_ms": 3000}


class Site:
    """All processes and state of the demo. Not thread safe."""

    def __init__(self, binaries, folder):
        self.binaries = binaries
        self.folder = folder
        self.processes = Processes(binaries, folder)
        self.platform = None
        self.operator_file = None
        self.backends = {}
        self.routers = {}
        self.keys = {}
        self.paid = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.processes.end_all()

    def start(self):
        self.platform = self.processes.start(
            "platform", "caperpath-platform",
            {"listen": "127.0.0.1:0", "writes_per_second": 300,
             "reads_per_second": 2000, "list_lag_ms": 500}).address
        self.operator_file = self.processes.write(
            "operator", {"platform": self.platform, "author": "demo"})
        for name in ENGINES:
            self.backends[name] = self.processes.start(
                name, "caperpath-engine", engine_settings(name)).address
        for name in SERVICES:
            self.backends[name] = self.processes.start(
                name, "caperpath-service",
                {"listen": "127.0.0.1:0", "name": name}).address
        self.configure()
        for number, failure_domain in enumerate(FAILURE_DOMAINS, 1):
            self.start_router(f"vm-{number}", failure_domain)

    def configure(self):
        first = self.processes.write("first", self.first_document())
        self.operate("config", "patch", str(first), "--base", "0")
        for name, (policy, tokens, _) in BUDGETS.items():
            self.operate("budget", "create", name, "--policy", policy)
            self.top_up(name, tokens, "first")
            made = self.operate("customer", "create", name, "--budget", name)
            self.keys[name] = made["key"]

    def first_document(self):
        servers = {}
        for number, (name, model) in enumerate(ENGINES.items()):
            servers[name] = {"kind": "engine", "serves": model}
            servers[name]["failure_domain"] = FAILURE_DOMAINS[number % 3]
        for name, service in SERVICES.items():
            servers[name] = {"kind": "plain_service", "serves": service}
            servers[name]["failure_domain"] = FAILURE_DOMAINS[2]
        for name, server in servers.items():
            server["address"] = self.backends[name]
        price = {"prompt_price": 1, "completion_price": 3}
        order = {"method": "POST", "idempotent": False, "price": 50}
        return {
            "name": "demo",
            "models": {"asistente": price, "guide-llm": price},
            "services": {
                "taller-app": {"calls": [order | {"path_prefix": "/parts"}]},
                "asset-svc": {"calls": [order | {"path_prefix": "/verdicts"}]}},
            "backend_servers": servers,
            "routing": {"policy": "least_outstanding"}}

    def operate(self, *words):
        """Runs caperpathctl and returns its decoded output."""
        command = [str(self.binaries / "caperpathctl"), "--json", "--settings",
                   str(self.operator_file), *words]
        done = subprocess.run(command, capture_output=True, text=True,
                              timeout=READY_SECONDS)
        if done.returncode != 0:
            raise Failure(f"caperpathctl {' '.join(words)} ended with "
                          f"{done.returncode}: {done.stdout}{done.stderr}")
        return json.loads(done.stdout) if done.stdout.strip() else {}

    def top_up(self, budget, tokens, payment):
        self.operate("budget", "top-up", budget, str(tokens), "--id", payment)
        self.paid[budget] = self.paid.get(budget, 0) + tokens

    def start_router(self, vm, failure_domain):
        router = self.processes.start(
            vm, "caperpath-router",
            router_settings(vm, failure_domain, self.platform, self.folder))
        self.routers[vm] = (router.address, failure_domain)
        listed = {"vm": vm, "incarnation": router.ready["incarnation"],
                  "address": router.address, "failure_domain": failure_domain,
                  "state": "live"}
        self.check(call("POST", self.platform, "/vms", listed), "list " + vm)
        self.wait_until(
            lambda: call("GET", router.address, "/readyz")[0] == 200,
            f"{vm} is not ready, see {vm}.log")

    def stop_router(self, vm):
        """Makes a planned stop: the router drains and exits; its VM is removed."""
        ended = self.processes.stop(vm)
        self.remove_vm(vm)
        return ended

    def kill_router(self, vm):
        """Kills the router and removes its VM from the platform's list."""
        self.processes.kill(vm)
        self.remove_vm(vm)

    def remove_vm(self, vm):
        del self.routers[vm]
        self.check(call("DELETE", self.platform, f"/vms/{vm}"), "remove " + vm)

    def addresses(self):
        return [address for address, _ in self.routers.values()]

    def wait_until_settled(self):
        """Blocks until no router holds a bill that is not in the ledger."""
        def settled():
            health = [call("GET", address, "/healthz")[1]
                      for address in self.addresses()]
            return all(one and one["unsettled_bills"] == 0 for one in health)
        self.wait_until(settled, "bills were not settled in time")

    @staticmethod
    def check(response, step):
        if response[0] != 200:
            raise Failure(f"the platform refused: {step} ({answer[0]})")

    @staticmethod
    def wait_until(holds, complaint):
        end = time.monotonic() + READY_SECONDS
        while not holds():
            if time.monotonic() > end:
                raise Failure(complaint)
            time.sleep(0.1)
