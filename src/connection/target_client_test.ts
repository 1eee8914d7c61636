import { type AddressInfo, createServer, type Socket } from "node:net";
import { createTargetClient } from "./target_client.ts";

const head = "HTTP/1.1 200 OK\r\n";

describe("target client", () => {
  describe("a response whose connection ends", () => {
    const framings = {
      "with a length": `${head}content-length: 100\r\n\r\nhalf`,
      "in chunks": `${head}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`,
      "without a length": `${head}connection: close\r\n\r\nhalf`,
    };
    const ends = {
      reset: (socket: Socket) => socket.resetAndDestroy(),
      close: (socket: Socket) => socket.end(),
    };

    for (const repeatable of [false, true]) {
      const kind = repeatable ? "repeatable" : "not repeatable";
      it(`reset together with its last bytes, ${kind}`, async () => {
        const body = await readBody({
          bytes: framings["without a length"],
          endConnection: () => undefined,
          endOnWrite: ends.reset,
          repeatable,
        });
        expect(body).toBe("broken");
      });

      for (const [framing, bytes] of Object.entries(framings)) {
        for (const [end, endConnection] of Object.entries(ends)) {
          const isComplete = framing === "without a length" && end === "close";
          it(`${framing}, ${end}, ${kind}`, async () => {
            const body = await readBody({ bytes, endConnection, repeatable });
            expect(body).toBe(isComplete ? "half" : "broken");
          });
        }
      }
    }
  });
});

/** Reads the body of a response whose connection a stand-in target ends. */
async function readBody(
  { bytes, endConnection, endOnWrite, repeatable }: {
    readonly bytes: string;
    /** Called right after the bytes are written. */
    endOnWrite?(socket: Socket): void;
    endConnection(socket: Socket): void;
    readonly repeatable: boolean;
  },
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(bytes);
      endOnWrite?.(socket);
    });
  });
  const port = await new Promise<number>((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
  const client = createTargetClient(`http://127.0.0.1:${port}`);
  try {
    const result = await client.send({
      requestId: "request-1",
      method: "POST",
      path: "/",
      headers: [],
      body: new Uint8Array(),
      repeatable,
      signal: new AbortController().signal,
    }).run();
    let text = "";
    for await (const data of result.unsafeCoerce().body) {
      text += Buffer.from(data).toString();
      sockets.forEach(endConnection);
    }
    return text;
  } catch {
    return "broken";
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.close();
    await client.close();
  }
}
