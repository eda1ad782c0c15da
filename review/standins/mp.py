"""MessagePack for the values of the protocols: maps, lists, text, numbers, booleans, null."""
import struct


def pack(v):
    out = bytearray()
    _pack(v, out)
    return bytes(out)


def _pack(v, out):
    if v is None:
        out.append(0xC0)
    elif v is True:
        out.append(0xC3)
    elif v is False:
        out.append(0xC2)
    elif isinstance(v, int):
        if 0 <= v < 128:
            out.append(v)
        elif -32 <= v < 0:
            out.append(v & 0xFF)
        elif v >= 0:
            out.append(0xCF)
            out += struct.pack(">Q", v)
        else:
            out.append(0xD3)
            out += struct.pack(">q", v)
    elif isinstance(v, float):
        out.append(0xCB)
        out += struct.pack(">d", v)
    elif isinstance(v, str):
        b = v.encode()
        if len(b) < 32:
            out.append(0xA0 | len(b))
        elif len(b) < 256:
            out += bytes((0xD9, len(b)))
        else:
            out.append(0xDB)
            out += struct.pack(">I", len(b))
        out += b
    elif isinstance(v, (list, tuple)):
        if len(v) < 16:
            out.append(0x90 | len(v))
        else:
            out.append(0xDD)
            out += struct.pack(">I", len(v))
        for x in v:
            _pack(x, out)
    elif isinstance(v, dict):
        if len(v) < 16:
            out.append(0x80 | len(v))
        else:
            out.append(0xDF)
            out += struct.pack(">I", len(v))
        for k, x in v.items():
            _pack(k, out)
            _pack(x, out)
    else:
        raise TypeError(type(v))


def unpack(b):
    v, at = _unpack(b, 0)
    if at != len(b):
        raise ValueError("trailing bytes")
    return v


def _int(b, at, n, signed=False):
    return int.from_bytes(b[at:at + n], "big", signed=signed), at + n


def _text(b, at, n):
    return b[at:at + n].decode(), at + n


def _list(b, at, n):
    out = []
    for _ in range(n):
        v, at = _unpack(b, at)
        out.append(v)
    return out, at


def _map(b, at, n):
    out = {}
    for _ in range(n):
        k, at = _unpack(b, at)
        out[k], at = _unpack(b, at)
    return out, at


def _unpack(b, at):
    t = b[at]
    at += 1
    if t < 0x80:
        return t, at
    if t < 0x90:
        return _map(b, at, t & 15)
    if t < 0xA0:
        return _list(b, at, t & 15)
    if t < 0xC0:
        return _text(b, at, t & 31)
    if t >= 0xE0:
        return t - 256, at
    if t == 0xC0:
        return None, at
    if t == 0xC2:
        return False, at
    if t == 0xC3:
        return True, at
    if t == 0xCA:
        return struct.unpack(">f", b[at:at + 4])[0], at + 4
    if t == 0xCB:
        return struct.unpack(">d", b[at:at + 8])[0], at + 8
    if 0xCC <= t <= 0xCF:
        return _int(b, at, 1 << (t - 0xCC))
    if 0xD0 <= t <= 0xD3:
        return _int(b, at, 1 << (t - 0xD0), True)
    if 0xD9 <= t <= 0xDB:
        n, at = _int(b, at, 1 << (t - 0xD9))
        return _text(b, at, n)
    if t in (0xDC, 0xDD):
        n, at = _int(b, at, 2 if t == 0xDC else 4)
        return _list(b, at, n)
    if t in (0xDE, 0xDF):
        n, at = _int(b, at, 2 if t == 0xDE else 4)
        return _map(b, at, n)
    raise ValueError(hex(t))
