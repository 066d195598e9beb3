"""Starts and ends the processes of a small fleet, each by its process id."""

import json
import select
import signal
import subprocess
import urllib.error
import urllib.request

START_SECONDS = 20
STOP_SECONDS = 30


class Failure(Exception):
    """A step that the fleet needs has failed; the text names it."""


class Process:
    """A running binary and the line that it printed once it was ready."""

    def __init__(self, name, handle, ready):
        self.name = name
        self.handle = handle
        self.ready = ready
        self.address = ready["listening"]


class Processes:
    """Ends all started processes when its `with` block is left, also by an error
    or Ctrl-C. Not thread safe."""

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
        """Starts `binary` and waits for the line with its address."""
        command = [str(self.binaries / binary), "--settings",
                   str(self.write(name, settings))]
        with open(self.folder / f"{name}.log", "a") as log:
            # Uses a separate session, so that Ctrl-C reaches only this script,
            # which then ends the processes in order.
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
        """Requests a planned stop and waits. Returns True if the process exited
        with code 0 in time."""
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
        """Ends the processes in reverse start order, since later ones depend on
        earlier ones: routers before the platform."""
        # A second Ctrl-C here would leave the remaining processes running.
        for stop in (signal.SIGINT, signal.SIGTERM):
            signal.signal(stop, signal.SIG_IGN)
        for name in reversed(list(self.running)):
            if self.running[name].handle.poll() is None:
                self.stop(name)
        self.running.clear()


def call(method, address, path, body=None, timeout=5):
    """Makes one HTTP call. Returns the status (0 if the call failed) and the
    decoded JSON or None."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data,
                                     method=method)
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, decode(response.read())
    except urllib.error.HTTPError as http_error:
        return http_error.code, decode(http_error.read())
    except OSError:
        return 0, None


def decode(text):
    try:
        return json.loads(text)
    except ValueError:
        return None
