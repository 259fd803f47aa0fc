"""The proof of the password in HELLO, as the Faktory protocol has it."""

import hashlib
import hmac

HASH_ITERATIONS = 2048
"""How often the password with its salt is hashed; announced to the client in HI."""


def is_valid_proof(password: str, salt: str, proof: object) -> bool:
    """Whether a client's ``pwdhash`` shows that it knows the password."""
    digest = (password + salt).encode()
    for _ in range(HASH_ITERATIONS):
        digest = hashlib.sha256(digest).digest()
    return hmac.compare_digest(digest.hex(), str(proof))
