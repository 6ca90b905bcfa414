"""Seals on datagrams and orders: who sent it, in which life, and only once.

A sealed message is a msgpack array ``[key id, sender, incarnation, counter,
payload]`` followed by the first 16 bytes of its HMAC-SHA256 (RFC 2104 advises
to keep at least half of the digest). The code also covers a *purpose* and an
*audience*, which both sides know and which cost no byte on the wire.
"""

import hmac
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from azurefold.wire.replay import Reason, ReplayGuard

__all__ = [
    "Key",
    "KeyRing",
    "Opened",
    "Reason",
    "Rejected",
    "ReplayGuard",
    "Sealer",
    "key_ring",
    "open_sealed",
    "seal",
]

MAC_BYTES = 16
MIN_SECRET_BYTES = 16
MAX_KEYS = 8
DATAGRAM = "datagram"


@dataclass(frozen=True, slots=True)
class Key:
    """One shared secret with the number that names it on the wire."""

    id: int
    secret: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class KeyRing:
    """The keys valid at present.

    Parameters
    ----------
    keys : tuple of Key
        The first one signs; each of them verifies. To roll a key over, add the
        new one last everywhere, then move it first everywhere, then remove the
        old one: at each moment every process verifies what any other signs.
    """

    keys: tuple[Key, ...]

    @property
    def signing(self) -> Key:
        """The key that seals what this process sends."""
        return self.keys[0]

    def find(self, key_id: int) -> Key | None:
        """Return the key named ``key_id``, or None."""
        for key in self.keys:
            if key.id == key_id:
                return key
        return None


@dataclass(frozen=True, slots=True)
class Opened:
    """A message whose seal is good."""

    sender: str
    incarnation: int
    counter: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """A message that must be dropped and counted under its reason."""

    reason: Reason


class _Envelope(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    key_id: int
    sender: str
    incarnation: int
    counter: int
    payload: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Envelope)


def key_ring(keys: Mapping[int, bytes] | Sequence[tuple[int, bytes]]) -> KeyRing:
    """Return a key ring, its first key being the one that signs.

    Raises
    ------
    ExceptionGroup
        Of one ValueError for each fault found in ``keys``.
    """
    pairs = list(keys.items()) if isinstance(keys, Mapping) else list(keys)
    faults = _key_faults(pairs)
    if faults:
        raise ExceptionGroup("the shared keys cannot be used", faults)
    return KeyRing(keys=tuple(Key(id=i, secret=secret) for i, secret in pairs))


def _key_faults(pairs: list[tuple[int, bytes]]) -> list[ValueError]:
    faults = []
    if not 1 <= len(pairs) <= MAX_KEYS:
        faults.append(ValueError(f"keys: give 1 to {MAX_KEYS}, not {len(pairs)}"))
    ids = [key_id for key_id, _ in pairs]
    if len(set(ids)) != len(ids):
        faults.append(ValueError(f"keys: each needs its own id, not {ids}"))
    for place, (_, secret) in enumerate(pairs):
        if len(secret) < MIN_SECRET_BYTES:
            faults.append(
                ValueError(
                    f"keys[{place}]: use at least {MIN_SECRET_BYTES} random bytes, "
                    f"not {len(secret)}"
                )
            )
    return faults


@dataclass(slots=True)
class Sealer:
    """The identity under which a process seals, with its message counter.

    Parameters
    ----------
    name : str
        The process's name, unique among all that share the keys.
    incarnation : int
        Greater in each life of that name; milliseconds of the wall clock at
        the start of the process will do.
    """

    name: str
    incarnation: int
    _counter: int = 0

    def next_counter(self) -> int:
        """Return a counter never returned before in this incarnation."""
        self._counter += 1
        return self._counter


def seal(
    payload: bytes,
    ring: KeyRing,
    sealer: Sealer,
    *,
    purpose: str = DATAGRAM,
    audience: str = "",
) -> bytes:
    """Return ``payload`` sealed in the name of ``sealer``.

    Parameters
    ----------
    payload : bytes
        What to send; it is not encrypted.
    ring : KeyRing
        Its first key signs.
    sealer : Sealer
        Whose counter is taken forward.
    purpose : str
        Keeps a seal made for one transport from passing on another.
    audience : str
        What else both ends know, such as the receiver's address: a message
        recorded on the way to one receiver is then no use at another.
    """
    key = ring.signing
    body = _ENCODER.encode(
        _Envelope(
            key_id=key.id,
            sender=sealer.name,
            incarnation=sealer.incarnation,
            counter=sealer.next_counter(),
            payload=payload,
        )
    )
    return body + _mac(key, body, purpose, audience)


def open_sealed(
    data: bytes,
    ring: KeyRing,
    guard: ReplayGuard | None,
    *,
    purpose: str = DATAGRAM,
    audience: str = "",
) -> Opened | Rejected:
    """Return what ``data`` holds, or why it has to be dropped.

    Parameters
    ----------
    data : bytes
        Anything at all; no input makes this raise.
    ring : KeyRing
        Each of its keys verifies.
    guard : ReplayGuard or None
        None leaves the check for replays to a caller who makes others first.
    purpose, audience : str
        As given to :func:`seal`.
    """
    body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
    try:
        envelope = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return Rejected(Reason.MALFORMED)
    key = ring.find(envelope.key_id)
    if key is None:
        return Rejected(Reason.UNKNOWN_KEY)
    if not hmac.compare_digest(mac, _mac(key, body, purpose, audience)):
        return Rejected(Reason.BAD_MAC)
    sender, life, counter = envelope.sender, envelope.incarnation, envelope.counter
    reason = guard.check(sender, life, counter) if guard is not None else None
    if reason is not None:
        return Rejected(reason)
    return Opened(sender, life, counter, envelope.payload)


def _mac(key: Key, body: bytes, purpose: str, audience: str) -> bytes:
    # The lengths keep ("ab", "c") and ("a", "bc") from giving the same code.
    context = f"{len(purpose)}:{purpose}{len(audience)}:{audience}"
    # A hostile path may hold lone surrogates, which must not raise here.
    covered = context.encode("utf-8", "surrogatepass") + body
    return hmac.digest(key.secret, covered, "sha256")[:MAC_BYTES]
