"""Decompression of documents whose sender is not trusted with their size."""

import zlib


def inflate(data: bytes, *, max_bytes: int) -> bytes:
    """Returns a zlib stream decompressed.

    Raises:
        ValueError: The stream is malformed, incomplete or longer than
            max_bytes.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError(f"compressed data is cut or exceeds {max_bytes} bytes")
    return content
