"""A command channel: the list of servers, drains and purges, told by long polls."""

import asyncio
import json
import time


class CommandChannel:
    """hosts: the list, as in its `hosts` rows. A reader that asks with 0, or with a number that was never told, hears the
    whole list as it stands and nothing of what came before."""

    def __init__(self, hosts=()):
        self.hosts = {h["host"]: h for h in hosts}
        self.events = []
        self.last = 1
        self.news = asyncio.Event()
        self.polls = []
        self.server = None
        self.writers = set()
        self.deaf = False

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()

    def tell(self, **event):
        self.last += 1
        self.events.append({"cursor": self.last, **event})
        del self.events[:-10000]
        self.news.set()
        self.news = asyncio.Event()
        return self.last

    def list(self, host, **changes):
        """A server is new or has changed; health `removed` takes it from the list."""
        row = self.hosts[host] = {**self.hosts.get(host, {"host": host}), **changes}
        if row.get("health") == "removed":
            del self.hosts[host]
        return self.tell(nodes={"seq": self.last + 1, "whole": False, "hosts": [row]})

    def drop(self, object_=None, group=None, when=None):
        when = round((when or time.time()) * 1000)
        return self.tell(drop={"id": object_, "when": when} if object_ else {"family": group, "when": when})

    def answer(self, resume):
        if not 0 < resume <= self.last:
            whole = {
                "cursor": self.last,
                "nodes": {"seq": self.last, "whole": True, "hosts": list(self.hosts.values())},
            }
            return {"cursor": self.last, "cmds": [whole]}
        return {"cursor": self.last, "cmds": [e for e in self.events if e["cursor"] > resume]}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while words := (await reader.readuntil(b"\r\n\r\n")).decode().split():
                asked = dict(pair.split("=") for pair in words[1].partition("?")[2].split("&"))
                resume = int(asked["resume"])
                until = time.monotonic() + int(asked["block"]) / 1000
                self.polls.append(resume)
                del self.polls[:-100]
                while self.deaf or 0 < resume == self.last and time.monotonic() < until:
                    try:
                        await asyncio.wait_for(self.news.wait(), max(0.001, until - time.monotonic()))
                    except TimeoutError:
                        if self.deaf:
                            await asyncio.sleep(0.05)
                body = json.dumps(self.answer(resume)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, KeyError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
