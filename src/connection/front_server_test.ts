import { connect, createServer, type Socket } from "node:net";
import type { FrontendRequest } from "../types/direct_request.ts";
import type { SocketAddress } from "../types/direct_settings.ts";
import { createFrontServer, type FrontServer } from "./front_server.ts";

/** Callers that all send at the same moment. */
const callers = 40;

/** Work that a request takes, in milliseconds of the process's time. */
const workMs = 5;

async function getFreeAddress(): Promise<SocketAddress> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as { readonly port: number };
  await new Promise((resolve) => server.close(resolve));
  return { address: "127.0.0.1", port };
}

describe("the front server", () => {
  let server: FrontServer | undefined;
  afterEach(() => server?.stop());

  it("handles few requests of callers that leave in a surge", async () => {
    const address = await getFreeAddress();
    let sockets: readonly Socket[] = [];
    let handled = 0;
    let gone = 0;
    let settle: () => void = () => undefined;
    const settled = new Promise<void>((resolve) => {
      settle = resolve;
    });
    server = await createFrontServer({
      decode: () => ({}) as FrontendRequest,
      createRequestId: () => "id",
      getLimits: () => ({
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000,
        headerTimeoutMs: 60_000,
        idleTimeoutMs: 60_000,
      }),
      tryAdmit: () => undefined,
      handle: (_request, reply) => {
        handled++;
        // All callers leave while the first request is handled.
        sockets.forEach((socket) => socket.destroy());
        const endAt = performance.now() + workMs;
        while (performance.now() < endAt);
        reply.end({ outcome: "done", report: undefined });
        if (handled + gone === callers) settle();
        return Promise.resolve();
      },
      noteRejected: () => {
        gone++;
        if (handled + gone === callers) settle();
      },
    }, address);
    sockets = await Promise.all(
      Array.from({ length: callers }, () =>
        new Promise<Socket>((resolve) => {
          const socket = connect(address.port, address.address, () =>
            resolve(socket));
          socket.on("error", () =>
            undefined);
        })),
    );
    sockets.forEach((socket) =>
      socket.write("GET /proofs/1 HTTP/1.1\r\nhost: a.example\r\n\r\n")
    );
    await settled;
    expect(handled).toBeLessThanOrEqual(8);
  });
});
