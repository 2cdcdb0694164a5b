"""Text of HTTP headers that others sent."""


def encode_header(text: str) -> bytes:
    """Return the bytes of a header as received, which need not be UTF-8.

    :param text: header as aiohttp decodes it.
    """
    return text.encode(errors='surrogateescape')
