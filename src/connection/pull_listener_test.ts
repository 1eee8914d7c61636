import { createServer } from "node:net";
import type { SocketAddress } from "../types/direct_settings.ts";
import { pullCachedParts, pullDirectory } from "./directory_pull.ts";
import { openPullListener, type PullListener } from "./pull_listener.ts";

/** Returns a loopback address with a free port. */
async function getFreeAddress(): Promise<SocketAddress> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as { readonly port: number };
  await new Promise((resolve) => server.close(resolve));
  return { address: "127.0.0.1", port };
}

describe("pull listener", () => {
  const change = { key: "a", value: "x", revision: 8 };
  const part = { target: "t", part: { id: "p", tokens: 9 } };
  let address: SocketAddress;
  let listener: PullListener;
  let errors: string[];

  beforeEach(async () => {
    errors = [];
    address = await getFreeAddress();
    listener = await openPullListener({
      getChangesSince: (revision) => revision < change.revision ? [change] : [],
      getCachedParts: () => ({ parts: [part], isSettled: true }),
      onError: (error) => errors.push(error.message),
    }, address);
  });
  afterEach(() => listener.close());

  it("serves the first pull and later ones", async () => {
    await expect(pullDirectory(address, 7)).resolves.toEqual([change]);
    await expect(pullDirectory(address, 8)).resolves.toEqual([]);
    await expect(pullCachedParts(address)).resolves.toEqual({
      parts: [part],
      isSettled: true,
    });
    expect(errors).toEqual([]);
  });

  it("serves concurrent pulls", async () => {
    const pulled = await Promise.all(
      [1, 2, 3].map(() => pullDirectory(address, 0)),
    );
    expect(pulled).toEqual([[change], [change], [change]]);
  });

  it("rejects an address that is in use", async () => {
    await expect(openPullListener({
      getChangesSince: () => [],
      getCachedParts: () => ({ parts: [], isSettled: true }),
      onError: () => undefined,
    }, address)).rejects.toThrow("EADDRINUSE");
  });
});
