import * as fc from "fast-check";
import { createShardedMap } from "./sharded_map.ts";

const changes = fc.array(fc.record({
  name: fc.string({ maxLength: 2 }),
  value: fc.option(fc.nat(), { nil: undefined }),
}));

describe("createShardedMap", () => {
  it("behaves like a Map and leaves older versions unchanged", () => {
    fc.assert(
      fc.property(changes, (list) => {
        const model = new Map<string, number>();
        let map = createShardedMap<number>();
        for (const { name, value } of list) {
          const before = map;
          const entriesBefore = [...before].sort();
          if (value === undefined) {
            model.delete(name);
            map = map.without(name);
          } else {
            model.set(name, value);
            map = map.with(name, value);
          }
          expect([...before].sort()).toEqual(entriesBefore);
          expect(map.get(name)).toBe(model.get(name));
          expect(map.has(name)).toBe(model.has(name));
          expect(map.size).toBe(model.size);
        }
        expect([...map].sort()).toEqual([...model].sort());
        expect([...createShardedMap(map)].sort()).toEqual([...model].sort());
        expect([...map.keys()]).toEqual([...map].map(([name]) => name));
        expect([...map.values()]).toEqual([...map].map(([, value]) => value));
      }),
      { seed: 7 },
    );
  });
});
