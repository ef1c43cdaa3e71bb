"""TLS of the administration API: the certificate is read again when told to, and stays what it was if it can't be."""

from pathlib import Path
from typing import Any

from OpenSSL import SSL
from twisted.internet.ssl import ContextFactory

from ternquay.hosted.service import ApiDocument, ServiceConfigError


class Certificate(ContextFactory):
    """Hands each new connection the context that was read last."""

    isClient = 0

    def __init__(self, api: ApiDocument, beside: Path) -> None:
        self.beside = beside
        self.context = self._read(api)

    def reload(self, api: ApiDocument) -> None:
        """Raises ServiceConfigError, and nothing is changed."""
        self.context = self._read(api)

    def getContext(self) -> Any:
        return self.context

    def _read(self, api: ApiDocument) -> SSL.Context:
        assert api.tls is not None
        context = SSL.Context(SSL.TLS_SERVER_METHOD)
        context.set_min_proto_version(SSL.TLS1_2_VERSION)
        context.set_options(SSL.OP_NO_RENEGOTIATION | SSL.OP_NO_COMPRESSION | SSL.OP_CIPHER_SERVER_PREFERENCE)
        field = "certificate"
        try:
            context.use_certificate_chain_file(str(self.beside / api.tls.certificate))
            field = "key"
            context.use_privatekey_file(str(self.beside / api.tls.key))
            context.check_privatekey()
            if api.tls.clients_ca:
                field = "clients_ca"
                context.load_verify_locations(str(self.beside / api.tls.clients_ca))
                context.set_verify(SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, lambda *told: bool(told[-1]))
                context.set_session_id(b"ternquay")
        except (SSL.Error, OSError) as fault:
            raise ServiceConfigError(f"api.tls.{field}: can't be used: {fault or 'it does not match'}") from fault
        return context
