#!/usr/bin/env python3
"""Runs clang-tidy on the files of a compilation database that have no
cached clean result: lint_changed.py BUILD_DIR.

A clean result is cached under a hash of all its inputs: the preprocessed
source with its line markers, the compiler's flags, the rules and the version
of clang-tidy. Exits with 1 and prints the findings, if any."""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "caperpath-lint"


def rules():
    """Returns the linter's version and the content of every rule file."""
    text = subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True, text=True).stdout
    for path in sorted(ROOT.rglob(".clang-tidy")):
        if "build" not in path.relative_to(ROOT).parts:
            text += f"{path.relative_to(ROOT)}\n{path.read_text()}"
    return text


def key_of(entry, fixed):
    """Returns a hash of all inputs of clang-tidy for one file."""
    command = shlex.split(entry["command"])
    if command[0].endswith("ccache"):
        command = command[1:]
    flags = []
    words = iter(command[1:])
    for word in words:
        if word in ("-o", "-MT", "-MF"):
            next(words)
        elif word not in ("-c", "-MD"):
            flags.append(word)
    # Keeps macros and comments, since rules and NOLINT marks apply to both.
    source = subprocess.run(["clang++", *flags, "-E", "-C", "-dD", "-w"],
                            cwd=entry["directory"], capture_output=True, check=True).stdout
    whole = fixed + "\0" + " ".join(flags)
    whole = whole.replace(str(ROOT), ".")
    digest = hashlib.sha256(whole.encode())
    digest.update(source.replace(str(ROOT).encode(), b"."))
    return digest.hexdigest()


def lint(entry, build, fixed):
    """Returns the findings of one file, or an empty string if it is clean."""
    try:
        mark = CACHE / key_of(entry, fixed)
    except (subprocess.CalledProcessError, FileNotFoundError, ValueError):
        mark = None  # clang-tidy reports the fault
    if mark is not None and mark.exists():
        return ""
    done = subprocess.run(["clang-tidy", f"-p={build}", "-quiet", entry["file"]],
                          cwd=ROOT, capture_output=True, text=True)
    if done.returncode != 0 or "warning:" in done.stdout:
        return done.stdout + done.stderr
    if mark is not None:
        mark.touch()
    return ""


def main():
    build = sys.argv[1]
    CACHE.mkdir(parents=True, exist_ok=True)
    entries = json.loads((ROOT / build / "compile_commands.json").read_text())
    fixed = rules()
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        found = [text for text in pool.map(lambda entry: lint(entry, build, fixed), entries) if text]
    print("\n".join(sorted(set(line for text in found for line in text.splitlines()
                               if "warning:" in line or "error:" in line))))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
