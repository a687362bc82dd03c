"""A TCP relay that can be cut, to separate one process from a server."""

import contextlib
import socket
import threading


class Relay:
    """Forwards connections to `target`, an (address, port) pair. Use as a context manager."""

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._lock = threading.Lock()
        self._open = set()
        self._is_cut = False
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.cut()
        self._listener.close()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def cut(self):
        """Closes all connections; later ones are closed at once."""
        with self._lock:
            self._is_cut = True
            connections, self._open = self._open, set()
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()

    def restore(self):
        with self._lock:
            self._is_cut = False

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target, timeout=5)
                far.settimeout(None)
            except OSError:
                near.close()
                continue
            with self._lock:
                if self._is_cut:
                    near.close()
                    far.close()
                    continue
                self._open |= {near, far}
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._copy, args=(source, sink), daemon=True).start()

    def _copy(self, source, sink):
        with contextlib.suppress(OSError):
            while chunk := source.recv(65536):
                sink.sendall(chunk)
        with self._lock:
            self._open -= {source, sink}
        for connection in (source, sink):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()
