"""Verifies the password hash that a Faktory client sends in HELLO."""

import hashlib
import hmac

HASH_ITERATIONS = 2048
"""Rounds of SHA-256 over the salted password; announced to the client in HI."""


def is_valid_proof(password: str, salt: str, proof: object) -> bool:
    """Returns whether a client's ``pwdhash`` is the hash of the password with this salt."""
    digest = (password + salt).encode()
    for _ in range(HASH_ITERATIONS):
        digest = hashlib.sha256(digest).digest()
    return hmac.compare_digest(digest.hex(), str(proof))
