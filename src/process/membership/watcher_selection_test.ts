import { createMember } from "../../../test/support/exchange_network.ts";
import { isListTurn, isWatcher } from "./watcher_selection.ts";

const routers = Array.from(
  { length: 40 },
  (_value, number) =>
    createMember(number, {
      id: `router-${number}`,
      role: "router",
      service: "",
    }),
);
const members = [...routers, createMember(99)];

describe("watcher selection", () => {
  it("selects two routers in each zone", () => {
    const watchers = routers.filter((self) => isWatcher(self, members));
    const zones = watchers.map(({ zone }) => zone).sort();
    expect(zones).toEqual([
      "zone-0",
      "zone-0",
      "zone-1",
      "zone-1",
      "zone-2",
      "zone-2",
    ]);
  });

  it("selects another router when a watcher is not live", () => {
    const [first] = routers.filter((self) => isWatcher(self, members));
    const remaining = members.map((member) =>
      member === first ? { ...member, state: "suspect" as const } : member
    );
    const watchers = remaining.filter((self) => isWatcher(self, remaining));
    expect(watchers).toHaveLength(6);
    expect(watchers.map(({ id }) => id)).not.toContain(first?.id);
  });

  it("lets one watcher read the VM list in each turn", () => {
    const readers = new Set<string>();
    for (let turn = 0; turn < 6; turn++) {
      const turnReaders = members.filter((self) =>
        isListTurn(self, members, turn)
      );
      expect(turnReaders).toHaveLength(1);
      turnReaders.forEach(({ id }) => readers.add(id));
    }
    expect(readers.size).toBe(6);
  });
});
