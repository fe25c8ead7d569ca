"""Child process that prints a ready line."""

import ctypes
import os
import signal
import subprocess

from mesh.wait import wait_until

READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 10
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


class ProcessError(Exception):
    """A process exited early or did not start."""


def kill_with_launcher():
    # Ensures that the process ends if the launcher is killed before it can stop it.
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """A program whose output goes to files in log_folder.

    Must be started from the main thread: the kernel kills the process when the
    thread that started it ends.
    """

    def __init__(self, name, arguments, log_folder):
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.out_path = os.path.join(log_folder, name + ".out")
        self.log_path = os.path.join(log_folder, name + ".log")
        self.addresses = {}
        with open(self.out_path, "wb") as out, open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                self.arguments, stdin=subprocess.DEVNULL, stdout=out,
                stderr=log, preexec_fn=kill_with_launcher)

    @property
    def pid(self):
        return self.popen.pid

    def is_running(self):
        return self.popen.poll() is None

    def wait_ready(self, timeout_s=READY_TIMEOUT_S):
        """Waits for the ready line; returns its addresses by name."""
        line = wait_until(self._ready_line, timeout_s, f"ready line of {self.name}")
        self.addresses = dict(part.split("=", 1) for part in line.split()[1:])
        return self.addresses

    def _ready_line(self):
        with open(self.out_path, encoding="utf-8") as out:
            for line in out:
                if line.startswith("ready ") and line.endswith("\n"):
                    return line.strip()
        if not self.is_running():
            raise ProcessError(
                f"{self.name} exited with {self.popen.returncode}: {self.log_tail()}")
        return None

    def log_tail(self, lines=20):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return "".join(log.readlines()[-lines:])

    def send(self, signal_number):
        if self.is_running():
            self.popen.send_signal(signal_number)

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Sends SIGTERM, then SIGKILL after the timeout; returns the exit code."""
        self.send(signal.SIGTERM)
        return self.wait(timeout_s)

    def kill(self):
        self.send(signal.SIGKILL)
        return self.popen.wait()

    def wait(self, timeout_s):
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return self.kill()

    def resident_kb(self):
        """Resident memory in KB."""
        return self._status_kb("VmRSS")

    def peak_resident_kb(self):
        """Highest resident memory so far in KB."""
        return self._status_kb("VmHWM")

    def _status_kb(self, key):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith(key + ":"):
                    return int(line.split()[1])
        return 0

    def cpu_seconds(self):
        """User and system time used so far."""
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
