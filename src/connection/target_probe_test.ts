import { type AddressInfo, createServer, type Server } from "node:net";
import { probeTarget } from "./target_probe.ts";

describe("the probe of a target", () => {
  let server: Server;
  let address: string;

  beforeEach(async () => {
    server = createServer((socket) => socket.resume());
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => void server.close());

  it("finds a process that listens", async () => {
    expect(await probeTarget(address)).toBe("accepts");
  });

  it("finds that none listens any more", async () => {
    await new Promise((resolve) => server.close(resolve));
    expect(await probeTarget(address)).toBe("refuses");
  });

  it("finds nothing out behind a broken path", async () => {
    // There is no route to the broadcast address of loopback.
    expect(await probeTarget("127.255.255.255:9")).toBe("unknown");
  });
});
