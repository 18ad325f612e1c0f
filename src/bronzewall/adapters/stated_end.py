"""Check that an answer states where its body ends."""

import aiohttp


def check_stated_end(response: aiohttp.ClientResponse) -> None:
    """Check that an answer has a length or chunks.

    A body that ends with its connection may be a part of the body.

    :raises aiohttp.ClientPayloadError: it has neither.
    """
    coding = response.headers.get('Transfer-Encoding', '')
    is_chunked = coding.lower().endswith('chunked')
    if response.content_length is None and not is_chunked:
        raise aiohttp.ClientPayloadError(
            'an answer without a length may be truncated'
        )
