"""Three controller processes on loopback, with stub services: jobs survive crashes of controllers.

Guards against processes that do not start or work together as a whole, and against jobs that are
lost, and tasks that run twice, when controllers are killed and restarted one after the other.
"""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import msgspec
import pytest

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 90.0
"""Ends a test run that hangs; the test does not check how long anything takes."""

SETTINGS = """
member = "n-{n}"
listen = "{listen}"
peer_bind = "{bind}"
{peers}
[endpoints]
cloud = "{cloud}"
state = "{state}"
[[settings.teams]]
name = "red"
cpus = 8.0
cpus_max = 16.0
[settings.workers]
report_s = 0.3
lease_s = 6.0
cancel_s = 20.0
[settings.state]
rps = 500.0
write_rps = 200.0
value_kb = 32.0
txn_ops = 16
[settings.cloud]
rps = 50.0
"""

SUBMISSION = {
    "ref": "job-1", "jobline": "a", "crew": "red", "shape": "array", "urgency": "urgent",
    "picks": 6, "cores": 1.0, "gpus": 0.0, "memory_gb": 1.0, "kit": "img", "image_gb": 0.1,
    "rigs": None, "yard": None, "together": False, "apart": False, "loaners": True,
    "expect_s": 0.5, "stash_every_s": 0.0, "stash_s": 0.0, "due_s": None,
}  # fmt: skip


class SystemUnderTest:
    """Three controller processes and a process with the stub services."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self._stack = stack
        addresses = free_addresses(6)
        self.listen, binds = addresses[:3], addresses[3:]
        stubs = self.start_process(
            [sys.executable, "-m", "tests.standins", *self.listen], pipe=True
        )
        assert stubs.stdout is not None
        endpoints = json.loads(stubs.stdout.readline())
        self.cloud = endpoints["cloud"]
        self.files = []
        for n in range(3):
            peers = "".join(
                f'[[peers]]\nmember = "n-{m}"\nendpoint = "{binds[m]}"\n'
                for m in range(3)
                if m != n
            )
            text = SETTINGS.format(
                n=n, listen=self.listen[n], bind=binds[n], peers=peers, **endpoints
            )
            self.files.append(folder / f"{n}.toml")
            self.files[n].write_text(text)
        self.processes = [self.start_controller(n) for n in range(3)]

    def start_process(self, command: list[str], pipe: bool = False) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE if pipe else None)
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process

    def start_controller(self, n: int) -> subprocess.Popen[bytes]:
        return self.start_process([sys.executable, "run.py", "--config", str(self.files[n])])

    def send(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a request to each controller in turn until one responds, as a load balancer does."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            for address in self.listen:
                status, response = send_request(address, method, path, body)
                if status not in (0, 503):
                    return status, response
            time.sleep(0.2)
        raise TimeoutError(path)

    def wait_for_status(self, ref: str, status: str) -> Any:
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            job = self.send("GET", f"/work/{ref}")[1]
            if job["status"] == status:
                return job
            time.sleep(0.2)
        raise TimeoutError(f"{ref} is not {status}: {job}")


def free_addresses(count: int) -> list[str]:
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for free_socket in sockets:
            free_socket.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{free_socket.getsockname()[1]}" for free_socket in sockets]


def send_request(address: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    data = None if body is None else msgspec.msgpack.encode(body)
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=5.0) as response:
            raw = response.read()
            return response.status, msgspec.msgpack.decode(raw) if raw else None
    except urllib.error.HTTPError as error:
        return error.code, None
    except OSError:
        return 0, None


@pytest.fixture
def system(tmp_path: Path) -> Iterator[SystemUnderTest]:
    with ExitStack() as stack:
        yield SystemUnderTest(tmp_path, stack)


def test_three_controllers_serve_jobs_while_each_is_killed_in_turn(system: SystemUnderTest) -> None:
    assert system.send("GET", "/ready")[0] == 200
    assert system.send("GET", "/work/job-nobody")[0] == 404
    assert system.send("POST", "/work", {"ref": "job-bad"})[0] == 400
    assert system.send("POST", "/work", {**SUBMISSION, "crew": "green"})[0] == 422
    assert system.send("POST", "/work", {**SUBMISSION, "cores": 5.0})[0] == 422
    assert system.send("POST", "/work", SUBMISSION)[0] in (200, 201)
    assert system.send("POST", "/work", SUBMISSION)[0] == 200
    assert system.wait_for_status("job-1", "done")["done"] == 6
    # Each controller, the leader among them, is killed in turn while jobs run.
    for n in range(3):
        ref = f"job-x{n}"
        assert system.send("POST", "/work", {**SUBMISSION, "ref": ref, "picks": 8})[0] in (200, 201)
        system.processes[n].kill()
        system.wait_for_status(ref, "done")
        system.processes[n] = system.start_controller(n)
    assert system.send("POST", "/work", {**SUBMISSION, "ref": "job-c", "picks": 500})[0] in (
        200,
        201,
    )
    assert system.send("POST", "/work/job-c/abort", {})[1]["status"] == "aborted"
    assert system.send("POST", "/work/job-1/abort", {})[1]["status"] == "done"
    assert system.send("POST", "/work", {**SUBMISSION, "ref": "job-c", "picks": 500})[0] == 200
    assert system.wait_for_status("job-c", "aborted")
    report = send_request(system.cloud, "GET", "/seen")[1]
    assert report["violations"] == []
    assert {f"job-x{n}/{k}" for n in range(3) for k in range(8)} <= set(report["starts"])
