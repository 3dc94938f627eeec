"""Runs all tests, tolerates failures listed in KNOWN-RED.txt and prints a summary line."""

from __future__ import annotations

import argparse
import sys
import time
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SLOW_TEST_SECONDS = 5.0


def known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id."""
    if not KNOWN_RED.exists():
        return {}
    entries = {}
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            test, _, rest = line.partition("|")
            entries[test.strip()] = rest.strip()
    return entries


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield the test cases of a suite and its nested suites."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


class TimedResult(unittest.TextTestResult):
    """Prints tests that take longer than SLOW_TEST_SECONDS."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802 - unittest's name
        """Record the start time of a test."""
        super().startTest(test)
        self._started = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Print a slow test."""
        super().stopTest(test)
        seconds = time.monotonic() - self._started
        if seconds > SLOW_TEST_SECONDS:
            self.stream.writeln(f"slow: {test.id()} {seconds:.1f} s")


def run_known_red(suite: unittest.TestSuite) -> set[str]:
    """Run the tests that are known to fail and return the ids of those that failed."""
    result = unittest.TestResult()
    result.buffer = True
    suite.run(result)
    # A failure within subTest refers to the subtest, whose test_case is the listed test.
    failed = (test for test, _ in (*result.failures, *result.errors))
    return {getattr(test, "test_case", test).id() for test in failed}


def main() -> int:
    """Run the tests, print the summary and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="test names; default: all tests")
    args = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    loader = unittest.TestLoader()
    if args.names:
        loaded = loader.loadTestsFromNames(args.names)
    else:
        loaded = loader.discover("tests", top_level_dir=str(ROOT))
        loaded.addTests(loader.discover("benchmarks", "bench_*.py", top_level_dir=str(ROOT)))
    red = known_red()
    suite, known = unittest.TestSuite(), unittest.TestSuite()
    for test in flatten(loaded):
        (known if test.id() in red else suite).addTest(test)
    runner = unittest.TextTestRunner(resultclass=TimedResult, buffer=True)
    result = runner.run(suite)
    listed = [test.id() for test in flatten(known)]
    still_red = run_known_red(known)
    for name in listed:
        state = "fails as listed" if name in still_red else "PASSES: remove its entry"
        print(f"known red, {state}: {name} | {red[name]}")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped) + len(listed)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    stale = set(red) - set(listed) if not args.names else set()
    for name in sorted(stale):
        print(f"KNOWN-RED.txt lists a test that does not exist: {name}")
    return 1 if failed or stale or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
