"""Keeps modules out of the process that its libraries import and that it never uses.

During an upgrade two processes share one memory limit, so each MB of a library counts twice. All of these modules are
optional for the libraries that import them, or replaced by an empty one: there is no TLS, no compressed archive, no
foreign function and no cookie in this process. Hash functions come from the interpreter instead of OpenSSL.
"""

import sys
from importlib import import_module
from types import ModuleType

OPTIONAL_MODULES = ("OpenSSL", "ssl", "_ssl", "_hashlib", "bz2", "_bz2", "lzma", "_lzma", "ctypes", "_ctypes")
PROGRAM_MODULES = ("ternquay.net.serve", "ternquay.net.replacement")
COOKIE_MODULE = "http.cookiejar"  # twisted.python.compat imports it, and with it urllib.request and half of `email`


def install() -> None:
    """Makes imports of these modules fail, or find an empty module. Has no effect on those that are already loaded."""
    for name in OPTIONAL_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    if COOKIE_MODULE not in sys.modules:
        import http

        empty = ModuleType(COOKIE_MODULE)
        empty.CookieJar = empty.Cookie = object  # type: ignore[attr-defined]
        sys.modules[COOKIE_MODULE] = empty
        http.cookiejar = empty  # type: ignore[attr-defined]


def load_program() -> None:
    """Loads all modules of a balancer's process, so that their compiled forms are stored (see deploy/balancer.toml)."""
    install()
    for name in PROGRAM_MODULES:
        import_module(name)


if __name__ == "__main__":
    load_program()
