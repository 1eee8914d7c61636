import {
  startStore,
  type StoreStandIn,
} from "../../test/platform/store_stand_in.ts";
import type {
  DirectoryError,
  DirectoryStore,
  SavedVersions,
} from "../types/directory.ts";
import { createStoreClient } from "./store_client.ts";

const router = {
  id: "router-1",
  address: "10.0.0.1",
  digestPort: 6,
  pullPort: 7,
};

describe("store client", () => {
  let store: StoreStandIn;
  let client: DirectoryStore;

  beforeEach(async () => {
    store = await startStore();
    client = createStoreClient(`http://${store.address}`);
  });

  afterEach(async () => {
    await client.close();
    await store.close();
  });

  /** Lets the store return from a copy that lacks one change. */
  function returnFromCopy(): void {
    const copy = store.copy();
    store.put("servers/lost", {});
    store.restore(copy);
  }

  function watchOnce(afterRevision: number) {
    return client.watch({ afterRevision, waitMs: 1 }).run();
  }

  describe("beside a large response", () => {
    const large = "x".repeat(100_000);

    it("tells of it with its head, and reads kinds by themselves", async () => {
      store.put("servers/a", {});
      store.put("op/config", large);
      store.put("op/evacuate/zone-a", "");
      let longBodies = 0;
      const options = { afterRevision: 1, waitMs: 1 };
      const all = await client
        .watch({ ...options, onLongBody: () => longBodies++ }).run();
      expect(all.unsafeCoerce().events.length).toBe(3);
      expect(longBodies).toBe(1);
      for (const kind of ["target", "evacuation"] as const) {
        const changes = await client.watch({ ...options, kind }).run();
        expect(changes.unsafeCoerce().events.length).toBe(1);
        const listing = await client.list({ kind }).run();
        expect(listing.unsafeCoerce().entries.length).toBe(1);
      }
    });

    it("asks for a listing where that takes less", async () => {
      store.put("op/config", large);
      store.put("op/config", large);
      const result = await client
        .watch({ afterRevision: 1, waitMs: 1, maxBytes: 200_000 }).run();
      expect(result.swap().toMaybe().extract()?.kind).toBe("compacted");
      expect((await client.list().run()).isRight()).toBe(true);
    });
  });

  describe("reads the era", () => {
    it("of a listing, over all of its pages", async () => {
      ["a", "b", "c", "d"].forEach((key) => store.put(key, key));
      const listing = (await client.list().run()).unsafeCoerce();
      expect(listing.position).toEqual({ era: 1, revision: 5 });
      expect(listing.entries.length).toBe(4);
    });

    it("of a watch", async () => {
      store.put("a", "x");
      const changes = (await watchOnce(1)).unsafeCoerce();
      expect(changes.position).toEqual({ era: 1, revision: 2 });
      expect(changes.events.length).toBe(1);
    });

    it("of a watch from a revision that the store has lost", async () => {
      await client.list().run();
      returnFromCopy();
      const result = await watchOnce(2);
      expect((result.extract() as DirectoryError).kind).toBe("compacted");
      expect(client.getEra()).toBe(2);
    });

    it("of a write", async () => {
      await client.list().run();
      returnFromCopy();
      await client.announce(router).run();
      expect(client.getEra()).toBe(2);
    });

    it("of a refusal", async () => {
      await client.list().run();
      returnFromCopy();
      store.setMode("refuse");
      await client.list().run();
      expect(client.getEra()).toBe(2);
    });
  });

  it("does not use a response of an era that has ended", async () => {
    store.setEraHeader("4");
    await client.list().run();
    store.setEraHeader("3");
    const result = await client.list().run();
    expect((result.extract() as DirectoryError).kind).toBe("outdated");
  });

  it("uses a store that names no era", async () => {
    const faults: string[] = [];
    client.onEraFault(({ kind }) => faults.push(kind));
    store.setEraHeader(undefined);
    const listing = (await client.list().run()).unsafeCoerce();
    expect(listing.position).toEqual({ era: 0, revision: 1 });
    expect(faults).toEqual(["missing"]);
  });

  describe("writes the versions of a service", () => {
    const saved: SavedVersions = {
      ...{ service: "cards", era: 1, routes: "r", completeSinceMs: 0 },
      versions: [{ softwareVersion: "v1", goneSinceMs: undefined }],
    };

    it("only in place of the revision that was read", async () => {
      expect((await client.saveVersions(saved, 0).run()).isRight()).toBe(true);
      const second = await client.saveVersions(saved, 0).run();
      expect((second.extract() as DirectoryError).kind).toBe("conflict");
      const revision = 2;
      expect(store.copy().items.get("versions/cards")?.Rev).toBe(revision);
      await client.removeVersions("cards", revision - 1).run();
      expect(store.tryGet("versions/cards")).toBeDefined();
      await client.removeVersions("cards", revision).run();
      expect(store.tryGet("versions/cards")).toBeUndefined();
    });
  });
});
