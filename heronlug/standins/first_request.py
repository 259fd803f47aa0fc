"""Sends one request of each class to a dispatcher that has just been started."""

import asyncio
import http.client
import secrets
import sys
import time

from heronlug.config.platform import Config
from heronlug.net.http import split_address
from heronlug.standins.server import StandInServer

START_TIMEOUT_S = 10.0
"""Seconds to wait for the dispatcher to start."""


def _post(config: Config, request_class: str, seconds: float) -> tuple[int, str]:
    """Sends a request; returns the status and body of the response.

    Raises:
        OSError: if the dispatcher cannot be reached or does not answer in time.
    """
    connection = http.client.HTTPConnection(*config.listen, timeout=seconds + 1)
    try:
        headers = {
            "X-Txn": secrets.token_hex(8),
            "X-Lane": request_class,
            "X-Remaining-Ms": str(round(seconds * 1000)),
            "Idempotency-Key": secrets.token_hex(16),
        }
        connection.request("POST", f"/{request_class}", b"a first job", headers)
        response = connection.getresponse()
        return response.status, response.read().decode("utf-8", "replace").strip()
    finally:
        connection.close()


async def _open_stand_ins(config: Config) -> list[StandInServer]:
    """Opens a stand-in server at each listed loopback address where nothing listens yet."""
    stand_ins = []
    for instance in (config.known or {}).get("instances", ()):
        address, port = split_address(instance["hostPort"])
        if address.startswith("127.") or address in ("localhost", "::1"):
            stand_in = StandInServer()
            try:
                await stand_in.open(address, port)
            except OSError:
                continue
            stand_ins.append(stand_in)
            print(f"a stand-in server answers at {instance['hostPort']} during this command", file=sys.stderr)
    return stand_ins


async def _send_requests(config: Config, seconds: float) -> int:
    stand_ins, failed = await _open_stand_ins(config), 0
    give_up_at = time.monotonic() + START_TIMEOUT_S
    for request_class in config.settings.classes:
        while True:
            try:
                status, body = await asyncio.to_thread(_post, config, request_class.name, seconds)
                break
            except (OSError, http.client.HTTPException) as error:
                if time.monotonic() > give_up_at:
                    print(f"no answer at {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
                    return 1
                await asyncio.sleep(0.2)
        print(f"{request_class.name}: {status} {body or '(no body)'}")
        failed += status != 200
    for stand_in in stand_ins:
        stand_in.close()
    return 1 if failed else 0


def run(config: Config, seconds: float) -> int:
    """Sends the requests; returns the exit status, 1 unless every class was served."""
    return asyncio.run(_send_requests(config, seconds))
