"""MessagePack without binary types and extensions, as the protocol uses it."""
import struct


def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(v, out):
    if v is None:
        out.append(0xC0)
    elif v is True:
        out.append(0xC3)
    elif v is False:
        out.append(0xC2)
    elif isinstance(v, Raw):
        out += v.data
    elif isinstance(v, int):
        if 0 <= v < 0x80:
            out.append(v)
        elif v < 0:
            if v >= -32:
                out.append(v & 0xFF)
            else:
                out.append(0xD3)
                out += struct.pack(">q", v)
        elif v < 0x100:
            out += bytes((0xCC, v))
        elif v < 0x10000:
            out += struct.pack(">BH", 0xCD, v)
        elif v < 0x100000000:
            out += struct.pack(">BI", 0xCE, v)
        else:
            out += struct.pack(">BQ", 0xCF, v)
    elif isinstance(v, float):
        out += struct.pack(">Bd", 0xCB, v)
    elif isinstance(v, str):
        data = v.encode()
        n = len(data)
        if n < 32:
            out.append(0xA0 | n)
        elif n < 0x100:
            out += bytes((0xD9, n))
        elif n < 0x10000:
            out += struct.pack(">BH", 0xDA, n)
        else:
            out += struct.pack(">BI", 0xDB, n)
        out += data
    elif isinstance(v, (list, tuple)):
        n = len(v)
        if n < 16:
            out.append(0x90 | n)
        elif n < 0x10000:
            out += struct.pack(">BH", 0xDC, n)
        else:
            out += struct.pack(">BI", 0xDD, n)
        for item in v:
            _pack(item, out)
    elif isinstance(v, dict):
        n = len(v)
        if n < 16:
            out.append(0x80 | n)
        elif n < 0x10000:
            out += struct.pack(">BH", 0xDE, n)
        else:
            out += struct.pack(">BI", 0xDF, n)
        for key, item in v.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(v))


class Raw:
    """A value that is encoded already."""

    __slots__ = ("data",)

    def __init__(self, data):
        self.data = data


def unpack(data):
    value, _ = _unpack(data, 0)
    return value


def _unpack(d, i):
    b = d[i]
    i += 1
    if b < 0x80:
        return b, i
    if b < 0x90:
        return _map(d, i, b & 15)
    if b < 0xA0:
        return _list(d, i, b & 15)
    if b < 0xC0:
        n = b & 31
        return d[i:i + n].decode(), i + n
    if b >= 0xE0:
        return b - 0x100, i
    if b == 0xC0:
        return None, i
    if b == 0xC2:
        return False, i
    if b == 0xC3:
        return True, i
    if b == 0xCA:
        return struct.unpack_from(">f", d, i)[0], i + 4
    if b == 0xCB:
        return struct.unpack_from(">d", d, i)[0], i + 8
    if b == 0xCC:
        return d[i], i + 1
    if b == 0xCD:
        return struct.unpack_from(">H", d, i)[0], i + 2
    if b == 0xCE:
        return struct.unpack_from(">I", d, i)[0], i + 4
    if b == 0xCF:
        return struct.unpack_from(">Q", d, i)[0], i + 8
    if b == 0xD0:
        return struct.unpack_from(">b", d, i)[0], i + 1
    if b == 0xD1:
        return struct.unpack_from(">h", d, i)[0], i + 2
    if b == 0xD2:
        return struct.unpack_from(">i", d, i)[0], i + 4
    if b == 0xD3:
        return struct.unpack_from(">q", d, i)[0], i + 8
    if b == 0xD9:
        n = d[i]
        return d[i + 1:i + 1 + n].decode(), i + 1 + n
    if b == 0xDA:
        n = struct.unpack_from(">H", d, i)[0]
        return d[i + 2:i + 2 + n].decode(), i + 2 + n
    if b == 0xDB:
        n = struct.unpack_from(">I", d, i)[0]
        return d[i + 4:i + 4 + n].decode(), i + 4 + n
    if b == 0xDC:
        return _list(d, i + 2, struct.unpack_from(">H", d, i)[0])
    if b == 0xDD:
        return _list(d, i + 4, struct.unpack_from(">I", d, i)[0])
    if b == 0xDE:
        return _map(d, i + 2, struct.unpack_from(">H", d, i)[0])
    if b == 0xDF:
        return _map(d, i + 4, struct.unpack_from(">I", d, i)[0])
    raise ValueError(f"byte {b:#x}")


def _list(d, i, n):
    out = []
    for _ in range(n):
        v, i = _unpack(d, i)
        out.append(v)
    return out, i


def _map(d, i, n):
    out = {}
    for _ in range(n):
        k, i = _unpack(d, i)
        v, i = _unpack(d, i)
        out[k] = v
    return out, i
