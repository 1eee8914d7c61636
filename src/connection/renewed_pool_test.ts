import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { sleep } from "../../test/harness/wait.ts";
import { createHttpPool } from "./http_pool.ts";
import { createRenewedPool, type RenewedPool } from "./renewed_pool.ts";

/** Time after which a call is given up, in milliseconds. */
const timeoutMs = 150;

/** Time for which a path is away after that, in milliseconds. */
const restMs = 50;

/** A connection; a lost one stays silent when the path is back. */
interface Link {
  isLost: boolean;
  isOpen: boolean;
}

describe("a renewed pool", () => {
  let server: Server;
  let pool: RenewedPool;
  let isCut: boolean;
  let links: Link[];

  beforeEach(async () => {
    [isCut, links] = [false, []];
    server = createServer((socket) => {
      const link = { isLost: isCut, isOpen: true };
      links.push(link);
      socket.on("close", () => void (link.isOpen = false));
      socket.on("error", () => undefined);
      socket.on("data", () => {
        if (link.isLost) return;
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    pool = createRenewedPool(() =>
      createHttpPool(`http://127.0.0.1:${port}`, {
        ...{ connections: 4, connectTimeoutMs: 1_000 },
      })
    );
  });

  afterEach(async () => {
    await pool.destroy();
    server.close();
  });

  async function call(): Promise<string> {
    const { body } = await pool.request({
      ...{ method: "GET", path: "/", signal: AbortSignal.timeout(timeoutMs) },
    });
    return await body.text();
  }

  function cut(): void {
    isCut = true;
    links.forEach((link) => link.isLost = true);
  }

  async function callInCut(calls: number): Promise<void> {
    cut();
    const ends = await Promise.allSettled(Array.from({ length: calls }, call));
    expect(ends.map(({ status }) => status)).toEqual(
      ends.map(() => "rejected"),
    );
    await sleep(restMs);
    isCut = false;
  }

  // The library had opened the next connection before the path was back.
  it.each([1, 2, 4])(
    "sends on no connection that was opened in a cut (%d calls)",
    async (calls) => {
      await callInCut(calls);
      await expect(call()).resolves.toBe("ok");
    },
  );

  it("sends on no connection from before a cut", async () => {
    await Promise.all([call(), call(), call()]);
    await callInCut(1);
    await expect(call()).resolves.toBe("ok");
  });

  it("closes the connections that it leaves", async () => {
    await Promise.all([call(), call(), call()]);
    await callInCut(2);
    await call();
    expect(links.filter(({ isOpen }) => isOpen).length).toBe(1);
  });

  it("lets a call go on that began before another was given up", async () => {
    cut();
    const silent = call();
    await sleep(timeoutMs / 2);
    isCut = false;
    const later = call();
    await expect(silent).rejects.toThrow();
    await expect(later).resolves.toBe("ok");
  });

  it("fails all calls once it is destroyed", async () => {
    await callInCut(1);
    await pool.destroy();
    await expect(call()).rejects.toThrow();
  });
});
