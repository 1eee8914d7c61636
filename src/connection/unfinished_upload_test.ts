/**
 * Guards against responses without a length that look whole although their target
 * has ended while the request was on its way to it.
 */

import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { createSilentLog } from "../process/telemetry/log.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import { tryParseRunEvent } from "./agent_client_codec.ts";
import { createDirectClient } from "./direct_client.ts";
import { createTargetClient } from "./target_client.ts";

const head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const upload = Buffer.alloc(600_000, "x");
const timeoutMs = 3_000;

/** What the target does once the first bytes of the upload have arrived. */
type Target = (socket: Socket) => void;

/** Closes its side, and resets the connection a while later. */
function closeThenReset(delayMs: number): Target {
  return (socket) => {
    socket.pause();
    socket.end(`${head}half`, () => {
      setTimeout(() => socket.resetAndDestroy(), delayMs);
    });
  };
}

const brokenTargets: Readonly<Record<string, Target>> = {
  "resets at once": (socket) => {
    socket.pause();
    socket.write(`${head}half`, () => socket.resetAndDestroy());
  },
  "closes, then resets": closeThenReset(0),
  "closes, and resets 30 ms later": closeThenReset(30),
  "closes without a byte of the body": (socket) => {
    socket.pause();
    socket.end(head, () => socket.resetAndDestroy());
  },
};

const wholeTargets: Readonly<Record<string, Target>> = {
  "closes its side, and reads on": (socket) => socket.end(`${head}half`),
  "closes its side, and reads on after a while": (socket) => {
    socket.pause();
    socket.end(`${head}half`);
    setTimeout(() => socket.resume(), 200);
  },
  "responds with a length, and reads on": (socket) =>
    void socket.write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhalf"),
};

const clients = {
  "direct client, persistent": (port: number) => sendDirect(port, false),
  "direct client, fresh": (port: number) => sendDirect(port, true),
  "target client": sendToTarget,
};

describe("a response to a request that is not written yet", () => {
  describe.each(Object.entries(clients))("%s", (_client, send) => {
    it.each(Object.entries(brokenTargets))(
      "is broken when the target %s",
      async (_name, respond) => {
        expect(await run(send, respond)).toBe("broken");
      },
    );

    it.each(Object.entries(wholeTargets))(
      "is whole when the target %s",
      async (_name, respond) => {
        expect(await run(send, respond)).toBe("half");
      },
    );
  });
});

describe("a head of an agent", () => {
  const toEvent = (status: number) =>
    tryParseRunEvent({
      event: { $case: "head", value: { status, headers: [] } },
      load: 0,
    });

  it.each([0, 99, 100, 199, 600, 999])(
    "whose status %d ends no request fails the attempt",
    (status) => {
      expect(toEvent(status)).toMatchObject({
        ...{ kind: "failure", mayHaveRun: true },
      });
    },
  );

  it.each([200, 599])("with the status %d is passed on", (status) => {
    expect(toEvent(status)).toMatchObject({ kind: "head", status });
  });
});

/** Sends an upload to a target; returns the body of the response. */
async function run(
  send: (port: number) => Promise<string>,
  respond: Target,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => respond(socket));
    socket.on("data", () => undefined);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  try {
    return await send(port);
  } catch {
    return "broken";
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
}

async function sendDirect(
  port: number,
  needsFreshConnection: boolean,
): Promise<string> {
  const client = createDirectClient({
    codec: {
      encodeHeaders: () => [],
      decodeHead: (status, headers) => ({
        kind: "head",
        head: {
          ...{ status, headers, isEventStream: false },
          ...{ length: undefined, load: undefined },
        },
      }),
      decodeNotice: () => ({
        ...{ isLeaving: false, pause: { kind: "none" } },
        ...{ limit: { kind: "none" }, warmUp: { kind: "untold" } },
      }),
      partsPath: "/parts",
      decodeParts: () => [],
    },
    log: createSilentLog(),
    getMaxConnections: () => 2,
    tryGetHold: () => undefined,
    handleNotice: () => undefined,
    onLimitExceeded: () => undefined,
  });
  const target = {
    ...{ id: "target-1", address: `127.0.0.1:${port}`, service: "desk" },
  } as DirectTarget;
  const result = await client.send({
    ...{ target, requestId: "id-1", method: "POST", path: "/", headers: [] },
    ...{ body: upload, deadlineMs: timeoutMs, needsFreshConnection },
    ...{ lastEventId: undefined, holder: undefined, prompt: undefined },
    ...{ fetchFrom: undefined, workspace: undefined, priorityClass: 1 },
    signal: AbortSignal.timeout(timeoutMs),
  });
  if (result.kind !== "answer") return "broken";
  try {
    return await readText(result.body);
  } finally {
    await client.close();
  }
}

async function sendToTarget(port: number): Promise<string> {
  const client = createTargetClient(`http://127.0.0.1:${port}`);
  const result = await client.send({
    ...{ requestId: "id-1", method: "POST", path: "/", headers: [] },
    ...{ body: upload, signal: AbortSignal.timeout(timeoutMs) },
  }).run();
  if (result.isLeft()) return "broken";
  try {
    return await readText(result.unsafeCoerce().body);
  } finally {
    await client.close();
  }
}

async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  let text = "";
  for await (const data of body) text += Buffer.from(data).toString();
  return text;
}
