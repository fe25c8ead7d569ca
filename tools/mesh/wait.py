"""Polling for conditions."""

import time


class WaitTimeout(Exception):
    """A condition did not become true in time."""


def wait_until(condition, timeout_s, what, interval_s=0.02):
    """Returns the first true value of condition(); raises WaitTimeout."""
    end = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= end:
            raise WaitTimeout(f"{what}: not within {timeout_s} s")
        time.sleep(interval_s)
