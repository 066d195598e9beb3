"""Runs the demo; see scripts/demo."""

import json
import pathlib
import shutil
import signal
import sys
import time

from ledger import Ledger, executions, scan
from load import Load
from processes import Failure
from fleet import RUNS_OUT, SERVICES, Site
from verdict import Verdict, to_table

ROOT = pathlib.Path(__file__).resolve().parents[2]
EVENT_SECONDS = 3
RECOVERY_SECONDS = 15
TOP_UP = 60_000
STOPPED, KILLED = "vm-2", "vm-3"

EXIT_BROKEN = 1
EXIT_FAILED = 2


def say(text):
    print(text, flush=True)


def play(site, phase, seed, event):
    """Sends one load and triggers `event` in the middle of it."""
    load = Load(site, phase, seed)
    time.sleep(EVENT_SECONDS)
    event()
    records = load.wait()
    for record in records:
        record["phase"] = phase
    site.wait_until_settled()
    return records


def patch_policy(site):
    say("  patching the routing policy to power_of_two")
    site.operate("policy", "set", "power_of_two")


def stop_one(site):
    say(f"  stopping {STOPPED} gracefully")
    if not site.stop_router(STOPPED):
        say(f"  {STOPPED} did not end by itself")


def kill_one(site):
    say(f"  killing {KILLED}")
    site.kill_router(KILLED)


def replace(site, vm, failure_domain):
    say(f"  starting a new {vm}")
    site.start_router(vm, failure_domain)


def wait_for_recovery(site, incarnation):
    """Waits until the other routers have taken over the dead router's shares."""
    start = time.monotonic()
    while time.monotonic() - start < RECOVERY_SECONDS:
        held = [key for key, _ in scan(site.platform, "share/")
                if key.startswith(f"share/{incarnation}/")]
        if not held:
            say(f"  shares of the killed router recovered after "
                f"{time.monotonic() - start:.1f} s")
            return
        time.sleep(0.2)
    say(f"  shares of the killed router not recovered within "
        f"{RECOVERY_SECONDS} s: {len(held)} left")


def play_all(site):
    say("phase first: mixed load; one customer runs out")
    records = play(site, "first", 1, lambda: patch_policy(site))
    before = Ledger(site.platform)
    left = before.paid[RUNS_OUT] - before.spent[RUNS_OUT]
    say(f"  {RUNS_OUT} has {left} of {before.paid[RUNS_OUT]} tokens left; "
        f"topping up {TOP_UP}")
    site.top_up(RUNS_OUT, TOP_UP, "second")
    say("phase stop: the same load, a planned stop in the middle")
    stopped_domain = site.routers[STOPPED][1]
    records += play(site, "stop", 2, lambda: stop_one(site))
    replace(site, STOPPED, stopped_domain)
    say("phase kill: the same load, a router dies in the middle")
    incarnation = site.processes.running[KILLED].ready["incarnation"]
    records += play(site, "kill", 3, lambda: kill_one(site))
    wait_for_recovery(site, incarnation)
    site.wait_until_settled()
    services = [site.backends[name] for name in SERVICES]
    return Verdict(records, Ledger(site.platform), executions(services), left)


def show(verdict):
    say("\n" + to_table(verdict.rows()) + "\n")
    for (customer, code), count in sorted(verdict.refusals().items()):
        say(f"refused {customer}: {code} x{count}")
    attempts = sum(one["attempts"] for one in verdict.records)
    say(f"attempts: {attempts} for {len(verdict.records)} requests")
    if verdict.broken:
        say(f"\nBROKEN PROMISES: {len(verdict.broken)}")
        for line in verdict.broken:
            say("  " + line)
    else:
        say("\nno promise was broken")


def streamed_id(records):
    """Returns the id of the stream with the most attempts, to show its trace."""
    streams = [one for one in records if one["kind"] == "stream"]
    return max(streams, key=lambda one: one["attempts"])["request_id"]


def keep(site, killed_domain):
    replace(site, KILLED, killed_domain)
    say(json.dumps({
        "routers": site.addresses(),
        "customers": {"ruedaviva": site.keys["taller-xela"],
                      "guild": site.keys["agency-hangang"]},
        "settings": str(site.operator_file)}))
    try:
        signal.pause()
    except KeyboardInterrupt:
        pass


def run(folder, keep_up):
    started = time.monotonic()
    with Site(ROOT / "build" / "release", folder) as site:
        say("starting the platform, engines, services and three routers")
        site.start()
        killed_domain = site.routers[KILLED][1]
        verdict = play_all(site)
        show(verdict)
        shown = folder.relative_to(ROOT)
        say(f"took {time.monotonic() - started:.0f} s, files in {shown}; the "
            "way of one request:\n  build/release/caperpath-trace --spans "
            f"{shown}/*.spans -- {streamed_id(verdict.records)}")
        if keep_up:
            keep(site, killed_domain)
    return EXIT_BROKEN if verdict.broken else 0


def main():
    # SIGTERM ends the fleet as Ctrl-C does. A shell starts background jobs
    # with SIGINT ignored; without these handlers the fleet would keep running.
    for stop in (signal.SIGINT, signal.SIGTERM):
        signal.signal(stop, signal.default_int_handler)
    folder = ROOT / "build" / "demo"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    try:
        return run(folder, "--keep" in sys.argv[1:])
    except KeyboardInterrupt:
        say("interrupted, everything ended")
        return 128 + signal.SIGINT
    except Failure as failure:
        say(f"the demo failed: {failure}")
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
