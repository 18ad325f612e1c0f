"""Starts one VM on the users' platform."""

import importlib
import os

# All connections of a VM are plain HTTP. aiohttp loads the system's
# certificates when it is imported, which takes a good part of the start.
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull

if __name__ == '__main__':
    importlib.import_module('bronzewall.platform.program').main()
