"""Checks the documents against the programs.

Guards against settings, error kinds or exit codes that were changed in the code only, a walk in the
README that differs from the tested one, and links to files that do not exist.
"""

import argparse
import json
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAMS = ("ibishinge-entry", "ibishinge-control", "ibishinge-fleet", "ibishingectl")
SETTING = re.compile(r"  --(\S+)  \((\w+)\)\n      (.*)")
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def output(binaries, program, *arguments):
    return subprocess.run([str(binaries / program), *arguments], check=True, text=True,
                          capture_output=True).stdout


def settings_rows(help_text):
    """Returns the rows of docs/settings.md for the output of --help."""
    rows = []
    for name, variable, rest in SETTING.findall(help_text):
        parts = rest.split("; ")
        last = parts.pop() if parts[-1].startswith(("default ", "required")) else "optional"
        allowed = parts.pop()
        rows.append(f"| `--{name}` | `{variable}` | {'; '.join(parts)} | {allowed} | {last} |")
    return rows


def table_rows(text):
    """Returns the rows of the tables of a text, without their headings."""
    lines = text.splitlines()
    return [line for number, line in enumerate(lines)
            if line.startswith("| ") and not line.startswith("| ---")
            and not (number + 1 < len(lines) and lines[number + 1].startswith("| ---"))]


def section(text, heading):
    """Returns what follows a heading of the second level."""
    return text.split(f"\n## {heading}\n", 1)[-1].split("\n## ", 1)[0]


def compare(problems, where, found, expected):
    problems += [f"{where}: missing: {row}" for row in expected if row not in found]
    problems += [f"{where}: surplus: {row}" for row in found if row not in expected]
    if not expected:
        problems.append(f"{where}: the program lists nothing")


def check_settings(problems, binaries):
    text = (ROOT / "docs/settings.md").read_text()
    for program in PROGRAMS:
        expected = settings_rows(output(binaries, program, "--help"))
        compare(problems, f"docs/settings.md, {program}", table_rows(section(text, program)),
                expected)


def check_errors(problems, binaries):
    kinds = json.loads(output(binaries, "ibishingectl", "explain", "--output=json"))
    yes = {True: "yes", False: "no"}
    expected = [f"| `{kind['error']}` | {kind['status']} | {yes[kind['proves_not_run']]} "
                f"| {yes[kind['retry_after']]} | {kind['meaning']} |" for kind in kinds]
    text = (ROOT / "docs/api.md").read_text()
    compare(problems, "docs/api.md, Errors", table_rows(section(text, "Errors")), expected)


def check_exit_codes(problems, binaries):
    help_text = output(binaries, "ibishingectl", "--help").split("Exit codes:\n")[1]
    expected = [f"| {code} | {meaning} |"
                for code, meaning in re.findall(r"  (\d+)  (.*)", help_text)]
    text = (ROOT / "docs/ctl.md").read_text()
    compare(problems, "docs/ctl.md, Exit codes", table_rows(section(text, "Exit codes")), expected)


def check_walk(problems):
    commands = (ROOT / "examples/walk.sh").read_text().split("set -euo pipefail\n", 1)[1].strip()
    block = "\n".join(f"    {line}" if line else "" for line in commands.splitlines())
    if block not in (ROOT / "README.md").read_text():
        problems.append("README.md: the walk differs from examples/walk.sh")


def check_links(problems):
    for document in [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")]:
        for target in LINK.findall(document.read_text()):
            if not (document.parent / target).exists():
                problems.append(f"{document.relative_to(ROOT)}: no file {target}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True, type=Path)
    parser.add_argument("--print-settings", action="store_true",
                        help="print the rows of docs/settings.md")
    arguments = parser.parse_args()
    if arguments.print_settings:
        for program in PROGRAMS:
            print(f"## {program}", *settings_rows(output(arguments.binaries, program, "--help")),
                  sep="\n")
        return 0
    problems = []
    check_settings(problems, arguments.binaries)
    check_errors(problems, arguments.binaries)
    check_exit_codes(problems, arguments.binaries)
    check_walk(problems)
    check_links(problems)
    print("\n".join(problems))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
