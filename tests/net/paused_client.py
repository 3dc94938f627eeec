"""A process that sends a request and prints its result, for tests that pause it."""

from __future__ import annotations

import sys

from circuits import BaseComponent
from circuits.core.pollers import EPoll

from chivefall.config import Address
from chivefall.net import HttpClient
from chivefall.runtime import LoopClock


def main(address: str, timeout: float) -> None:
    """Send a request to ``address`` and print the name of its result's type."""
    root, clock = BaseComponent(), LoopClock()
    client = HttpClient(clock)
    for component in (EPoll(), clock.timer_component, client):
        component.register(root)
    fut = client.request(Address.parse(address), "POST", "/x", b"body", timeout=timeout)
    fut.add_done_callback(lambda _: root.stop())
    root.run()
    print(type(fut.result()).__name__)


if __name__ == "__main__":
    main(sys.argv[1], float(sys.argv[2]))
