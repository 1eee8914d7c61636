import { createServer } from "node:net";
import type { SocketAddress } from "../types/direct_settings.ts";
import { originPosition } from "../types/store_position.ts";
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
  const lostEntries = [
    { key: "b", value: "y", revision: 90, restoredRevision: 0 },
    { key: "c", value: undefined, revision: 91, restoredRevision: 3 },
  ];
  const keys = ["a", "b"];
  const part = { target: "t", part: { id: "p", tokens: 9 } };
  const oddParts = [0, 16_777_216, 4_294_967_295].map((tokens) => ({
    target: "t",
    part: { id: `odd-${tokens}`, tokens },
  }));
  let address: SocketAddress;
  let listener: PullListener;
  let errors: string[];

  beforeEach(async () => {
    errors = [];
    address = await getFreeAddress();
    listener = await openPullListener({
      getCopyAfter: ({ era, revision }) => ({
        position: { era: 2, revision: 8 },
        isComplete: era !== 2,
        changes: revision < change.revision ? [change] : [],
        keys: era === 2 && revision < 5 ? keys : undefined,
        lostEntries,
      }),
      getCachedParts: () => ({ parts: [...oddParts, part], isSettled: true }),
      onError: (error) => errors.push(error.message),
    }, address);
  });
  afterEach(() => listener.close());

  it("serves the first pull and later ones", async () => {
    const position = { era: 2, revision: 8 };
    await expect(pullDirectory(address, { era: 2, revision: 7 })).resolves
      .toEqual({ position, isComplete: false, changes: [change], lostEntries });
    await expect(pullDirectory(address, position)).resolves
      .toEqual({ position, isComplete: false, changes: [], lostEntries });
    await expect(pullDirectory(address, { era: 1, revision: 7 })).resolves
      .toEqual({ position, isComplete: true, changes: [change], lostEntries });
    await expect(pullCachedParts(address)).resolves.toEqual({
      parts: [part],
      isSettled: true,
    });
    expect(errors).toEqual([]);
  });

  it("names the keys that exist where removals may be missing", async () => {
    await expect(pullDirectory(address, { era: 2, revision: 4 })).resolves
      .toMatchObject({ isComplete: false, keys });
  });

  // A peer of another build may not judge what its lists say.
  it("leaves out parts with tokens that no part has", async () => {
    const { parts } = await pullCachedParts(address);
    expect(parts).toEqual([part]);
  });

  it("serves concurrent pulls", async () => {
    const pulled = await Promise.all(
      [1, 2, 3].map(() => pullDirectory(address, originPosition)),
    );
    expect(pulled.map(({ changes }) => changes))
      .toEqual([[change], [change], [change]]);
  });

  it("rejects an address that is in use", async () => {
    await expect(openPullListener({
      getCopyAfter: (position) => ({
        position,
        isComplete: false,
        changes: [],
        lostEntries: [],
      }),
      getCachedParts: () => ({ parts: [], isSettled: true }),
      onError: () => undefined,
    }, address)).rejects.toThrow("EADDRINUSE");
  });
});
