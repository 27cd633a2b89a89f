"""Identifies the organisation that a client calls for.

Load pattern: every session and every operation of a deployment with organisations is
checked, so a check is a lookup in two dictionaries.
"""

from hashlib import blake2b

from bronzemoor_core.wire.deployment import ANONYMOUS, Deployment, Route

DIGEST_BYTES = 16


def digest_key(key: bytes) -> str:
    """Returns the digest that stands for a key in memory, messages and lookups.

    Looking up a digest takes no longer for a key that begins like a valid one.
    """
    return blake2b(key, digest_size=DIGEST_BYTES).hexdigest()


def find_caller(deployment: Deployment, route: Route, key_digest: str) -> str | None:
    """Returns the name of the organisation that owns the key.

    The name is empty if the deployment has no organisations. The result is None if the
    key is unknown and the route is not public.
    """
    if not deployment.organisations:
        return ""
    owner = deployment.key_owners.get(key_digest)
    return ANONYMOUS if owner is None and route.public else owner


def find_priority(deployment: Deployment, caller: str) -> int:
    """Returns the priority of an organisation.

    Callers without a key come after all organisations.
    """
    organisation = deployment.organisations.get(caller)
    if organisation is not None:
        return organisation.priority
    priorities = (item.priority for item in deployment.organisations.values())
    return 1 + max(priorities) if deployment.organisations else 0
