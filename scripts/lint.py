#!/usr/bin/env python3
"""Runs clang-tidy over the sources, several files at once.

A file whose preprocessed text, own text, flags, linter settings and linter version are those of an earlier
pass is not read again: the result would be the same. Only passes are kept, below the user's cache folder.
"""

import argparse
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

# GCC's precompiled header is of no use to clang; the files name what they need themselves.
PRECOMPILED = re.compile(r" -Winvalid-pch -include \S*cmake_pch\.hxx")


def read_commands(build):
    """Returns the compiler's arguments by source file, and a database without GCC's header."""
    entries = json.loads((build / "compile_commands.json").read_text())
    for entry in entries:
        entry["command"] = PRECOMPILED.sub("", entry["command"])
    database = build / "lint"
    database.mkdir(exist_ok=True)
    (database / "compile_commands.json").write_text(json.dumps(entries))
    arguments = {}
    for entry in entries:
        words = shlex.split(entry["command"])
        keep = [word for word in words[1:] if word.startswith(("-I", "-D", "-std", "-isystem"))]
        arguments[str(pathlib.Path(entry["directory"], entry["file"]).resolve())] = keep
    return arguments, database


def fingerprint(source, arguments, settings, root):
    """Returns what the linter's verdict depends on; None if the file cannot be preprocessed."""
    text = subprocess.run(["clang++", "-E", "-CC", *arguments, str(source)], capture_output=True,
                          check=False)
    if text.returncode != 0:
        return None
    digest = hashlib.sha256(settings)
    digest.update(" ".join(arguments).replace(root, "").encode())
    digest.update(text.stdout.replace(root.encode(), b""))
    digest.update(source.read_bytes())
    return digest.hexdigest()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True, help="folder with the compile commands")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("sources", nargs="+", type=pathlib.Path)
    options = parser.parse_args()

    root = str(pathlib.Path.cwd())
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "ibishinge-lint"
    cache.mkdir(parents=True, exist_ok=True)
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    settings = version + pathlib.Path(".clang-tidy").read_bytes()
    commands, database = read_commands(options.build)

    def check(source):
        arguments = commands.get(str(source.resolve()), [])
        key = fingerprint(source, arguments, settings, root)
        if key is not None and (cache / key).exists():
            return source, True, True, ""
        run = subprocess.run(["clang-tidy", "-p", str(database), "--quiet", str(source)],
                             capture_output=True, text=True, check=False)
        if run.returncode == 0 and key is not None:
            (cache / key).touch()
        return source, run.returncode == 0, False, run.stdout

    known = failed = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for source, passed, cached, output in pool.map(check, options.sources):
            known += cached
            if not passed:
                failed += 1
                print(f"{source}:\n{output}", flush=True)
    print(f"{len(options.sources)} files, {known} unchanged since an earlier pass, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
