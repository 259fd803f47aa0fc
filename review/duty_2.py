"""The command of the duty: says every 0.1 s that it works, under which fence, for a bounded time."""

import os
import sys
import time

path, seconds = sys.argv[1], float(sys.argv[2])
end = time.monotonic() + seconds
while time.monotonic() < end:
    line = f"{time.monotonic():.3f} {os.getpid()} {os.environ['HERONLUG_FENCE']}\n"
    descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
    os.write(descriptor, line.encode())
    os.close(descriptor)
    time.sleep(0.1)
