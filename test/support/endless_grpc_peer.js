/**
 * A peer that answers every gRPC call without end, as a process of its own, so that
 * what it keeps is not memory of the process that calls it.
 */

import { createServer } from "node:http2";

const responseHead = { ":status": 200, "content-type": "application/grpc" };

/** Interim responses that are sent in each interval of a millisecond. */
const interimResponses = 100;

/** A message of so many empty entries, two bytes each. */
function createEntries(entries, tag = 0x0a) {
  const message = Buffer.alloc(entries * 2);
  for (let at = 0; at < message.length; at += 2) message[at] = tag;
  return message;
}

/** The same as the headers of a head of an agent's response. */
function createHead(headers) {
  const head = createEntries(headers, 0x12);
  const length = head.length;
  const prefix = [
    0x12,
    ...[0, 7, 14].map((shift) => (length >> shift) & 0x7f | 0x80),
    length >> 21,
  ];
  return Buffer.concat([Buffer.from(prefix), head]);
}

function frame(message, length) {
  const prefix = Buffer.alloc(5);
  prefix.writeUInt32BE(length, 1);
  return Buffer.concat([prefix, message]);
}

/** Messages of very many entries, by the kind of call that would decode them. */
const messages = {
  entries: () => createEntries(2_000_000),
  head: () => createHead(2_000_000),
};

/** What the peer sends, by the part that has no end. */
const floods = {
  "a message of two million entries": (stream, message) => {
    stream.respond(responseHead);
    stream.end(frame(message, message.length));
  },
  "a message that never ends": (stream) => {
    stream.respond(responseHead);
    stream.write(frame(Buffer.alloc(0), 15 * 1024 * 1024));
    repeat(stream, Buffer.alloc(64 * 1024));
  },
  "a message larger than any": (stream) => {
    stream.respond(responseHead);
    stream.write(frame(Buffer.alloc(0), 0xffffffff));
    repeat(stream, Buffer.alloc(64 * 1024));
  },
  "messages": (stream) => {
    stream.respond(responseHead);
    repeat(stream, Buffer.alloc(5 * 1_000));
  },
  "interim responses": (stream) => {
    const timer = setInterval(() => {
      for (let count = 0; count < interimResponses; count++) {
        if (stream.destroyed) return;
        stream.additionalHeaders({ ":status": 103, "x-more": "value" });
      }
    }, 1);
    stream.on("close", () => clearInterval(timer));
  },
  "nothing": () => undefined,
};

/** Writes a block again and again until the stream is closed. */
function repeat(stream, block) {
  const write = () => {
    while (!stream.destroyed && stream.write(block));
  };
  stream.on("drain", write);
  write();
}

const [floodName = "", messageName = ""] = process.argv.slice(2);
const message = messages[messageName]();
const server = createServer();
server.on("stream", (stream) => {
  stream.on("error", () => undefined);
  floods[floodName](stream, message);
});
server.on("session", (session) => session.on("error", () => undefined));
server.listen(0, "127.0.0.1", () => process.send?.(server.address().port));
// The parent ends this process, or is gone itself.
process.on("disconnect", () => process.exit());
