"""A first job of each class for a dispatcher that somebody has just started."""

import asyncio
import http.client
import secrets
import sys
import time

from heronlug.config.platform import Config
from heronlug.net.http import split_address
from heronlug.standins.server import StandInServer

WAIT = 10.0  # s, for the dispatcher to come up


def _post(config: Config, lane: str, seconds: float) -> tuple[int, str]:
    """One job; returns status and body.  Raises ``OSError``."""
    connection = http.client.HTTPConnection(*config.listen, timeout=seconds + 1)
    try:
        headers = {
            "X-Txn": secrets.token_hex(8),
            "X-Lane": lane,
            "X-Remaining-Ms": str(round(seconds * 1000)),
            "Idempotency-Key": secrets.token_hex(16),
        }
        connection.request("POST", f"/{lane}", b"a first job", headers)
        answer = connection.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace").strip()
    finally:
        connection.close()


async def _hosts(config: Config) -> list[StandInServer]:
    """A stand-in at each listed loopback address that nobody listens at."""
    hosts = []
    for line in (config.known or {}).get("instances", ()):
        address, port = split_address(line["hostPort"])
        if address.startswith("127.") or address in ("localhost", "::1"):
            host = StandInServer()
            try:
                await host.open(address, port)
            except OSError:
                continue
            hosts.append(host)
            print(f"a stand-in host answers at {line['hostPort']} meanwhile", file=sys.stderr)
    return hosts


async def _play(config: Config, seconds: float) -> int:
    hosts, failed = await _hosts(config), 0
    end = time.monotonic() + WAIT
    for lane in config.settings.classes:
        while True:
            try:
                status, body = await asyncio.to_thread(_post, config, lane.name, seconds)
                break
            except (OSError, http.client.HTTPException) as error:
                if time.monotonic() > end:
                    print(f"no answer at {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
                    return 1
                await asyncio.sleep(0.2)
        print(f"{lane.name}: {status} {body or '(no body)'}")
        failed += status != 200
    for host in hosts:
        host.close()
    return 1 if failed else 0


def run(config: Config, seconds: float) -> int:
    """Play it; the exit status is 1 unless every class was served."""
    return asyncio.run(_play(config, seconds))
