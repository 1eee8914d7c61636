import { createPlacement, loadPlacementHost } from "../process/placement.ts";
import { createRefusalMemory } from "../process/refusal_memory.ts";
import type { Member } from "../types/member.ts";
import type { Work } from "../types/work.ts";
import { createRouting, type Routing } from "./routing.ts";

const chat = {
  service: "verse-model",
  workspace: "counter",
  conversation: "card-7",
  requestId: "request-1",
  lastPlace: undefined,
} as Work;

describe("routing", () => {
  async function create(targets: number): Promise<Routing> {
    const members = Array.from({ length: targets }, (_, index) => ({
      id: `agent-${index + 1}`,
      incarnation: 1,
      weight: 100,
    } as Member));
    return createRouting({
      members: { getAvailableAgents: () => members },
      placement: createPlacement(await loadPlacementHost()),
      refusals: createRefusalMemory(),
    }, chat);
  }

  function askAll(
    routing: Routing,
    loads: Readonly<Record<string, number>>,
  ): readonly string[] {
    const asked: string[] = [];
    for (let next = routing.tryGetNext(); next !== undefined;) {
      const { id } = next.member;
      asked.push(id);
      const load = loads[id];
      if (load !== undefined) routing.noteLoad(id, load);
      next = routing.tryGetNext();
    }
    return asked;
  }

  it("asks each target once when they do not tell their loads", async () => {
    const asked = askAll(await create(3), {});
    expect([...asked].sort()).toEqual(["agent-1", "agent-2", "agent-3"]);
  });

  it("asks the least loaded again, a bounded number of times", async () => {
    const routing = await create(3);
    const loads = { "agent-1": 300, "agent-2": 100, "agent-3": 200 };
    expect(askAll(routing, loads).slice(3))
      .toEqual(Array.from({ length: 5 }, () => "agent-2"));
    expect([...routing.getOtherLoads("agent-2")].sort()).toEqual([200, 300]);
  });

  it("goes on to the next least loaded when a load has grown", async () => {
    const routing = await create(2);
    const first = routing.tryGetNext()?.member.id ?? "";
    const second = routing.tryGetNext()?.member.id ?? "";
    routing.noteLoad(first, 100);
    routing.noteLoad(second, 200);
    expect(routing.tryGetNext())
      .toMatchObject({ member: { id: first }, pauseMs: 5 });
    routing.noteLoad(first, 300);
    expect(routing.tryGetNext())
      .toMatchObject({ member: { id: second }, pauseMs: 10 });
  });

  it("asks a single target one time", async () => {
    expect(askAll(await create(1), { "agent-1": 100 })).toEqual(["agent-1"]);
  });
});
