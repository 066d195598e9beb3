"""The demo's traffic: requests of the customers of Ruedaviva and the Guild."""

import json
import subprocess

from processes import Failure, Process
from fleet import RUNS_OUT

SECONDS = 8
REQUESTS_PER_SECOND = 15
RUN_SECONDS = 120

# The most that one request of the customer who runs out can reserve: prompt
# bytes, then three tokens for each of its completion tokens.
LARGEST_RESERVE = 1_400 + 3 * 20


def chat(name, kind, model, least, most, weight):
    return {"name": name, "kind": kind, "model": model, "weight": weight,
            "least_tokens": least, "most_tokens": most}


def order(name, service, path, weight):
    return {"name": name, "kind": "order", "service": service, "path": path,
            "weight": weight}


TRAFFIC = [
    chat("taller-xela", "stream", "asistente", 20, 100, 6),
    chat("taller-xela", "short", "asistente", 1, 8, 3),
    order("taller-xela", "taller-app", "/parts", 2),
    chat(RUNS_OUT, "short", "asistente", 5, 20, 4),
    chat("agency-hangang", "stream", "guide-llm", 20, 100, 4),
    chat("agency-hangang", "short", "guide-llm", 1, 8, 3),
    order("agency-hangang", "asset-svc", "/verdicts", 2),
]

FAMILIES = [
    {"name": "fault log of a drive unit", "weight": 2, "shared_bytes": 800,
     "own_bytes": 100},
    {"name": "brand guideline on the use of the logo", "weight": 1,
     "shared_bytes": 1000, "own_bytes": 100},
]


class Load:
    """One run of caperpath-load. Not thread safe."""

    def __init__(self, site, name, seed):
        self.site = site
        self.name = name
        self.requests = site.folder / f"{name}.requests"
        scenario = {
            "routers": site.addresses(), "duration_ms": SECONDS * 1000,
            "seed": seed, "arrivals_per_second": REQUESTS_PER_SECOND,
            "max_open": 100, "request_timeout_ms": 20_000,
            "customers": [one | {"key": site.keys[one["name"]]}
                          for one in TRAFFIC],
            "prompt_families": FAMILIES,
            "retries": {"max_attempts": 6, "first_wait_ms": 100,
                        "most_wait_ms": 2_000}}
        file = site.processes.write(name, scenario)
        with open(site.folder / f"{name}.log", "w") as log:
            self.handle = subprocess.Popen(
                [str(site.binaries / "caperpath-load"), "--settings", str(file),
                 "--requests", str(self.requests)],
                stdout=log, stderr=log, start_new_session=True)
        # Registered so that it ends with the fleet if the demo is interrupted.
        site.processes.running[name] = Process(name, self.handle,
                                               {"listening": ""})

    def wait(self):
        """Blocks until every request has ended; returns one record each."""
        try:
            code = self.handle.wait(RUN_SECONDS)
        except subprocess.TimeoutExpired as late:
            raise Failure(f"{self.name} did not end in time") from late
        del self.site.processes.running[self.name]
        if code not in (0, 1):
            raise Failure(f"{self.name} ended with {code}, see {self.name}.log")
        return [json.loads(line) for line in
                self.requests.read_text().splitlines()]
