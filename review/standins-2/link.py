"""A proxy for one way between a machine and the platform, which can be cut for some time.

While the way is cut, nothing passes. Bytes that a sender had on an open channel are held up and
arrive when the cut is over, also if the sender has closed the channel meanwhile; they are lost if it
has reset it. A channel that is opened during the cut comes about only if its opener still waits for
it when the cut is over.
"""

import asyncio

CHUNK = 65536


class Link:
    def __init__(self, target_port):
        self.target_port = target_port
        self.open = asyncio.Event()
        self.open.set()
        self.on_bytes = None  # called with the bytes that the machine sends, before they pass on

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def accept(self, reader, writer):
        try:
            if not self.open.is_set():
                # As the opening packet does not arrive, what the opener closes is never seen.
                first = await self._wait_or_close(reader)
                if first is None:
                    return
            else:
                first = b""
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            await asyncio.gather(self._pass(reader, far_writer, first, True),
                                 self._pass(far_reader, writer, b"", False))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _wait_or_close(self, reader):
        """Returns what was sent when the cut is over; None if the channel was closed before."""
        held = b""
        while not self.open.is_set():
            healed = asyncio.ensure_future(self.open.wait())
            read = asyncio.ensure_future(reader.read(CHUNK))
            await asyncio.wait({healed, read}, return_when=asyncio.FIRST_COMPLETED)
            healed.cancel()
            if not read.done():
                # The rest is read by `_pass`.
                read.cancel()
                break
            if not read.result():
                return None
            held += read.result()
        return held

    async def _pass(self, reader, writer, first, from_machine):
        try:
            data = first or await reader.read(CHUNK)
            while data:
                if from_machine and self.on_bytes:
                    self.on_bytes(data)
                await self.open.wait()
                writer.write(data)
                await writer.drain()
                data = await reader.read(CHUNK)
            await self.open.wait()
            writer.write_eof()
        except OSError:
            writer.close()  # the channel was reset: what was held up is lost


async def start_link(installation, target_port):
    """Returns (link, port)."""
    link = Link(target_port)
    server = await asyncio.start_server(link.accept, "127.0.0.1", 0, backlog=512)
    installation.servers.append(server)
    return link, server.sockets[0].getsockname()[1]
