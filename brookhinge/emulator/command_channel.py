"""Emulated command channel: serves the endpoint list, drains and purges to long polls over HTTP."""

import asyncio
import json
import time


class CommandChannel:
    """Serves the current endpoint list and the events after a reader's cursor.

    A reader whose cursor is 0, or was never issued, receives the whole current list and no earlier events.

    Attributes:
        hosts: Rows of the endpoint list by host name, in the format of the channel.
        events: Published events, at most the last 10,000.
        last: Cursor of the last event.
        published: Event that is set when something is published; each publication replaces it.
        polls: Cursors of the last 100 polls.
        deaf: Whether polls are held without an answer.
    """

    def __init__(self, hosts=()):
        self.hosts = {h["host"]: h for h in hosts}
        self.events = []
        self.last = 1
        self.published = asyncio.Event()
        self.polls = []
        self.server = None
        self.writers = set()
        self.deaf = False

    async def listen(self, host="127.0.0.1", port=0):
        """Starts listening; returns the bound address."""
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()

    def tell(self, **event):
        """Publishes an event; returns its cursor."""
        self.last += 1
        self.events.append({"cursor": self.last, **event})
        del self.events[:-10000]
        self.published.set()
        self.published = asyncio.Event()
        return self.last

    def list(self, host, **changes):
        """Adds, changes or (health `removed`) removes a server; returns the cursor of the event."""
        row = self.hosts[host] = {**self.hosts.get(host, {"host": host}), **changes}
        if row.get("health") == "removed":
            del self.hosts[host]
        return self.tell(nodes={"seq": self.last + 1, "whole": False, "hosts": [row]})

    def drop(self, object_=None, group=None, when=None):
        """Publishes a purge of an object or group; returns the cursor of the event.

        Args:
            object_: Key of the object, or None for a group.
            group: Number of the group, used without an object.
            when: Unix time of the change in seconds, or None for now.
        """
        when = round((when or time.time()) * 1000)
        return self.tell(drop={"id": object_, "when": when} if object_ else {"family": group, "when": when})

    def answer(self, resume):
        """Returns the events after a cursor, or the whole endpoint list if the cursor is unknown."""
        if not 0 < resume <= self.last:
            whole = {
                "cursor": self.last,
                "nodes": {"seq": self.last, "whole": True, "hosts": list(self.hosts.values())},
            }
            return {"cursor": self.last, "cmds": [whole]}
        return {"cursor": self.last, "cmds": [event for event in self.events if event["cursor"] > resume]}

    async def serve(self, reader, writer):
        """Answers the polls of one connection until it closes or sends an unreadable request."""
        self.writers.add(writer)
        try:
            while request_words := (await reader.readuntil(b"\r\n\r\n")).decode().split():
                parameters = dict(pair.split("=") for pair in request_words[1].partition("?")[2].split("&"))
                resume = int(parameters["resume"])
                deadline = time.monotonic() + int(parameters["block"]) / 1000
                self.polls.append(resume)
                del self.polls[:-100]
                while self.deaf or 0 < resume == self.last and time.monotonic() < deadline:
                    try:
                        await asyncio.wait_for(self.published.wait(), max(0.001, deadline - time.monotonic()))
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
        """Stops listening and aborts all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
