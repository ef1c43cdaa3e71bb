"""TLS of the administration API, with a certificate that can be reloaded."""

from pathlib import Path
from typing import Any

from OpenSSL import SSL
from twisted.internet.ssl import ContextFactory

from ternquay.hosted.service import ApiDocument, ServiceConfigError


class Certificate(ContextFactory):
    """Provides new connections with the TLS context that was loaded last. Paths are relative to `base_directory`."""

    isClient = 0

    def __init__(self, api: ApiDocument, base_directory: Path) -> None:
        self.base_directory = base_directory
        self.context = self._load(api)

    def reload(self, api: ApiDocument) -> None:
        """Loads the files again. Raises ServiceConfigError, and keeps the old context, if they are unusable."""
        self.context = self._load(api)

    def getContext(self) -> Any:
        return self.context

    def _load(self, api: ApiDocument) -> SSL.Context:
        assert api.tls is not None
        context = SSL.Context(SSL.TLS_SERVER_METHOD)
        context.set_min_proto_version(SSL.TLS1_2_VERSION)
        context.set_options(SSL.OP_NO_RENEGOTIATION | SSL.OP_NO_COMPRESSION | SSL.OP_CIPHER_SERVER_PREFERENCE)
        field = "certificate"
        try:
            context.use_certificate_chain_file(str(self.base_directory / api.tls.certificate))
            field = "key"
            context.use_privatekey_file(str(self.base_directory / api.tls.key))
            context.check_privatekey()
            if api.tls.clients_ca:
                field = "clients_ca"
                context.load_verify_locations(str(self.base_directory / api.tls.clients_ca))
                context.set_verify(
                    SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, lambda *arguments: bool(arguments[-1])
                )
                context.set_session_id(b"ternquay")
        except (SSL.Error, OSError) as error:
            raise ServiceConfigError(f"api.tls.{field}: can't be used: {error or 'it does not match'}") from error
        return context
