"""Three real controllers on loopback against the stand-ins: jobs survive crashes of the leader."""

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
PATIENCE_S = 90.0
"""A limit for a run that hangs; the test does not judge how long anything takes."""

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


class Service:
    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self._stack = stack
        addresses = free_addresses(6)
        self.listen, binds = addresses[:3], addresses[3:]
        region = self.begin([sys.executable, "-m", "tests.standins", *self.listen], pipe=True)
        assert region.stdout is not None
        endpoints = json.loads(region.stdout.readline())
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
        self.processes = [self.start(n) for n in range(3)]

    def begin(self, command: list[str], pipe: bool = False) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE if pipe else None)
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process

    def start(self, n: int) -> subprocess.Popen[bytes]:
        return self.begin([sys.executable, "run.py", "--config", str(self.files[n])])

    def ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Asks one controller after the other, as users behind a load balancer do."""
        deadline = time.monotonic() + PATIENCE_S
        while time.monotonic() < deadline:
            for address in self.listen:
                status, answer = ask(address, method, path, body)
                if status not in (0, 503):
                    return status, answer
            time.sleep(0.2)
        raise TimeoutError(path)

    def until(self, ref: str, status: str) -> Any:
        deadline = time.monotonic() + PATIENCE_S
        while time.monotonic() < deadline:
            found = self.ask("GET", f"/work/{ref}")[1]
            if found["status"] == status:
                return found
            time.sleep(0.2)
        raise TimeoutError(f"{ref} is not {status}: {found}")


def free_addresses(count: int) -> list[str]:
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for free_socket in sockets:
            free_socket.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{free_socket.getsockname()[1]}" for free_socket in sockets]


def ask(address: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
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
def service(tmp_path: Path) -> Iterator[Service]:
    with ExitStack() as stack:
        yield Service(tmp_path, stack)


def test_three_controllers_serve_through_a_crash_of_each(service: Service) -> None:
    assert service.ask("GET", "/ready")[0] == 200
    assert service.ask("GET", "/work/job-nobody")[0] == 404
    assert service.ask("POST", "/work", {"ref": "job-bad"})[0] == 400
    assert service.ask("POST", "/work", {**SUBMISSION, "crew": "green"})[0] == 422
    assert service.ask("POST", "/work", {**SUBMISSION, "cores": 5.0})[0] == 422
    assert service.ask("POST", "/work", SUBMISSION)[0] in (200, 201)
    assert service.ask("POST", "/work", SUBMISSION)[0] == 200
    assert service.until("job-1", "done")["done"] == 6
    # Each controller, the leader among them, is killed in turn while jobs run.
    for n in range(3):
        ref = f"job-x{n}"
        assert service.ask("POST", "/work", {**SUBMISSION, "ref": ref, "picks": 8})[0] in (200, 201)
        service.processes[n].kill()
        service.until(ref, "done")
        service.processes[n] = service.start(n)
    assert service.ask("POST", "/work", {**SUBMISSION, "ref": "job-c", "picks": 500})[0] in (
        200,
        201,
    )
    assert service.ask("POST", "/work/job-c/abort", {})[1]["status"] == "aborted"
    assert service.ask("POST", "/work/job-1/abort", {})[1]["status"] == "done"
    assert service.ask("POST", "/work", {**SUBMISSION, "ref": "job-c", "picks": 500})[0] == 200
    assert service.until("job-c", "aborted")
    seen = ask(service.cloud, "GET", "/seen")[1]
    assert seen["violations"] == []
    assert {f"job-x{n}/{k}" for n in range(3) for k in range(8)} <= set(seen["starts"])
