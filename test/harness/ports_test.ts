import { createPorts, type Ports } from "./ports.ts";

/** Number of ports that each allocator hands out; more than one block. */
const portsPerAllocator = 120;

describe("ports", () => {
  describe("of two suites that have not bound theirs yet", () => {
    it("are different", async () => {
      const first = await allocateAll(createPorts());
      const second = await allocateAll(createPorts());
      expect(new Set([...first, ...second]).size).toBe(2 * portsPerAllocator);
    });
  });
});

async function allocateAll(ports: Ports): Promise<readonly number[]> {
  const allocated: number[] = [];
  while (allocated.length < portsPerAllocator) {
    allocated.push(await ports.allocate());
  }
  return allocated;
}
