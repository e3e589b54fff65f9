"""Run the property tests with new examples for some minutes."""

import subprocess
import sys
import time

import typer

__all__ = ["fuzz"]

PROPERTIES = (
    "boragetrail/direct/tests/test_fuzz.py",
    "boragetrail/direct/tests/test_fuzzepochs.py",
)


def fuzz(minutes=5.0, seed=None, clock=time.monotonic):
    """Run the property tests with consecutive seeds.

    The run ends with the first seed that fails; pytest prints the example.

    :param minutes: time after which no further seed is started
    :param seed: first seed; by default the current time
    :param clock: function that returns monotonic seconds
    :returns: exit status
    """
    end_s = clock() + 60.0 * minutes
    first = int(time.time()) if seed is None else seed
    runs = 0
    status = 0
    while not status and (clock() < end_s or not runs):
        options = ["-p", "no:cacheprovider", "--hypothesis-profile=fuzz"]
        options.append(f"--hypothesis-seed={first + runs}")
        status = _run_pytest([*options, *PROPERTIES])
        runs += 1
    print(f"seeds {first} to {first + runs - 1}: exit status {status}")
    return status


def _run_pytest(arguments):
    """Run pytest in a process of its own and return its exit status.

    Hypothesis accepts a test method in one run of pytest per process.
    """
    command = [sys.executable, "-m", "pytest", *arguments]
    return subprocess.run(command, check=False).returncode


def main(minutes: float = 5.0, seed: int | None = None):
    """Run the property tests for some minutes."""
    sys.exit(fuzz(minutes, seed))


if __name__ == "__main__":
    typer.run(main)
