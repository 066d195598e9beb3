"""Starts and ends the processes of a small fleet, each by its own id."""

import json
import select
import signal
import subprocess
import urllib.error
import urllib.request

START_SECONDS = 20
STOP_SECONDS = 30


class Failure(Exception):
    """Something that the fleet needs did not work; the text says what."""


class Process:
    """One running binary and the line that it printed when it was ready."""

    def __init__(self, name, handle, ready):
        self.name = name
        self.handle = handle
        self.ready = ready
        self.address = ready["listening"]


class Processes:
    """Use in a `with` block: whatever was started is ended when it is left, by
    an error or Ctrl-C too. Not thread safe."""

    def __init__(self, binaries, folder):
        self.binaries = binaries
        self.folder = folder
        self.running = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.end_all()

    def write(self, name, settings):
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(settings, indent=2) + "\n")
        return file

    def start(self, name, binary, settings):
        """Starts `binary` and waits for the line that says where it listens."""
        command = [str(self.binaries / binary), "--settings",
                   str(self.write(name, settings))]
        with open(self.folder / f"{name}.log", "a") as log:
            # A session of its own: Ctrl-C reaches this script alone, which
            # then ends the processes in order.
            handle = subprocess.Popen(command, stdout=subprocess.PIPE,
                                      stderr=log, text=True,
                                      start_new_session=True)
        self.running[name] = Process(name, handle, {"listening": ""})
        readable, _, _ = select.select([handle.stdout], [], [], START_SECONDS)
        line = handle.stdout.readline() if readable else ""
        if not line:
            raise Failure(f"{name} did not start, see {name}.log")
        self.running[name] = Process(name, handle, json.loads(line))
        return self.running[name]

    def stop(self, name):
        """Asks for a planned stop and waits; True if it ended by itself."""
        process = self.running.pop(name)
        process.handle.send_signal(signal.SIGTERM)
        try:
            process.handle.wait(STOP_SECONDS)
            return process.handle.returncode == 0
        except subprocess.TimeoutExpired:
            process.handle.kill()
            process.handle.wait()
            return False

    def kill(self, name):
        process = self.running.pop(name)
        process.handle.kill()
        process.handle.wait()

    def end_all(self):
        """Ends in reverse order of the start: routers before the platform.
        What was started last has the least depending on it."""
        # A second Ctrl-C in here would leave the rest of them running.
        for stop in (signal.SIGINT, signal.SIGTERM):
            signal.signal(stop, signal.SIG_IGN)
        for name in reversed(list(self.running)):
            if self.running[name].handle.poll() is None:
                self.stop(name)
        self.running.clear()


def call(method, address, path, body=None, timeout=5):
    """One HTTP call; returns the status and the decoded JSON, or None."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data,
                                     method=method)
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, decode(answer.read())
    except urllib.error.HTTPError as refusal:
        return refusal.code, decode(refusal.read())
    except OSError:
        return 0, None


def decode(text):
    try:
        return json.loads(text)
    except ValueError:
        return None
